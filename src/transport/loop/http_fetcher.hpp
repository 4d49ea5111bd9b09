#pragma once

#include "protocol/http/message.hpp"
#include "protocol/http/parsing.hpp"
#include "state/time.hpp"
#include "transport/loop/http_connection.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace acaciaslip::transport::loop {

/// Timeouts of a single HTTP exchange.
struct fetch_timeouts {
    state::duration connect {}; ///< until the connection is established
    state::duration answer {}; ///< added to `connect`; until the complete answer has been received
    /// If not 0, `answer` is extended, three times at most, as long as so many bytes arrive within it.
    std::uint64_t minBytes = 0;
};

/// Result of a single HTTP exchange.
struct fetch_result {
    std::optional<protocol::http::message> answer; ///< empty if the exchange failed or timed out
    std::uint64_t receivedBytes = 0; ///< also of an answer that is incomplete
};

/// Performs single HTTP exchanges, each on its own connection.
class http_fetcher {
public:
    using callback = std::function<void(fetch_result)>;

    http_fetcher(uv_loop_t* loop, protocol::http::message_limits limits);

    /// \param address "ip:port"
    /// \param request the complete encoded request, with "Connection: close"
    void fetch(const std::string& address, std::string request, const fetch_timeouts& timeouts, callback done);

    /// Ends all exchanges without calling their callbacks.
    void close();

private:
    struct exchange;

    void handleTimer(std::uint64_t number);
    void finish(std::uint64_t number, std::optional<protocol::http::message> answer);

    uv_loop_t* m_loop;
    protocol::http::message_limits m_limits;
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> m_inFlight;
    std::uint64_t m_nextNumber = 1;
};

} // namespace acaciaslip::transport::loop
