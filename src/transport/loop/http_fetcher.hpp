#pragma once

#include "protocol/http/message.hpp"
#include "protocol/http/parsing.hpp"
#include "state/time.hpp"
#include "transport/loop/http_link.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace acaciaslip::transport::loop {

/// How long a single exchange may take.
struct fetch_patience {
    state::duration connect {}; ///< until the connection is up
    state::duration answer {}; ///< after that span, until the whole answer has come
};

/// Single HTTP exchanges, each on a connection of its own.
class http_fetcher {
public:
    /// Given the answer, or nothing when none came in time.
    using callback = std::function<void(std::optional<protocol::http::message>)>;

    http_fetcher(uv_loop_t* loop, protocol::http::message_limits limits);

    /// \param address "ip:port"
    /// \param request the whole request, with "Connection: close"
    void fetch(const std::string& address, std::string request, const fetch_patience& patience, callback done);

    /// Ends every exchange; nothing is called back any more.
    void close();

private:
    struct exchange;

    void noteTimer(std::uint64_t number);
    void finish(std::uint64_t number, std::optional<protocol::http::message> answer);

    uv_loop_t* m_loop;
    protocol::http::message_limits m_limits;
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> m_running;
    std::uint64_t m_nextNumber = 1;
};

} // namespace acaciaslip::transport::loop
