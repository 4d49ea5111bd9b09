#pragma once

#include "transport/loop/caller_connection.hpp"
#include "transport/loop/tcp_listener.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <absl/status/status.h>

namespace acaciaslip::transport::loop {

/// Callbacks from a listener to its owner, for all of its connections.
struct listener_callbacks {
    /// A complete request has been read.
    std::function<void(state::request_id, const std::shared_ptr<caller_connection>&, protocol::http::message)>
        requestReceived;
    std::function<void(state::request_id)>
        callerDisconnected; ///< the caller no longer waits for the answer to this request
    std::function<std::string(int status, std::string_view reason)> makeRefusal; ///< see `caller_connection_callbacks`
    std::function<void(const caller_connection&)> connectionClosed {}; ///< may be unset
};

/// A listening port and the connections accepted on it.
class caller_listener {
public:
    caller_listener(uv_loop_t* loop, listener_callbacks callbacks);

    /// \param address "ip:port"; port 0 lets the operating system choose a free port
    [[nodiscard]] absl::Status listen(const std::string& address);
    [[nodiscard]] int port() const { return m_listener.port(); }

    /// Sets the limits of new connections; open connections keep theirs.
    void setLimits(const connection_limits& limits) { m_limits = limits; }
    /// Sets the maximum number of open connections; further ones are answered with status 503 and closed.
    void setMaxConnections(std::size_t limit) noexcept { m_maxConnections = limit; }

    /// Counts the requests of new connections against a budget.
    void useBudget(std::shared_ptr<coordination::memory_budget> budget) { m_budget = std::move(budget); }

    [[nodiscard]] std::size_t openConnections() const noexcept { return m_connections.size(); }
    [[nodiscard]] std::uint64_t acceptedConnections() const noexcept
    {
        return m_accepted;
    } ///< connections since the start

    /// Calls `call` for each open connection; it may close the connection.
    void forEach(const std::function<void(caller_connection&)>& call) const;

    /// Whether no request is in progress and all answers have been handed to the operating system.
    [[nodiscard]] bool isDrained() const;

    /// Stops accepting connections; open ones are kept.
    void stopListening() { m_listener.close(); }

    /// Stops listening and closes all connections immediately.
    void close();

private:
    void accept(uv_stream_t* listener);

    listener_callbacks m_callbacks;
    tcp_listener m_listener;
    connection_limits m_limits;
    std::size_t m_maxConnections = SIZE_MAX;
    std::shared_ptr<coordination::memory_budget> m_budget;
    std::unordered_set<std::shared_ptr<caller_connection>> m_connections;
    std::uint64_t m_nextRequestId = 1;
    std::uint64_t m_accepted = 0;
};

} // namespace acaciaslip::transport::loop
