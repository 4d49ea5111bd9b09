#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "protocol/http/parsing.hpp"
#include "transport/loop/http_connection.hpp"
#include "transport/loop/http_fetcher.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::transport::loop {

/// Sends attempts to servers over keep-alive connections and limits the connections that this node opens to each
/// server.
///
/// A connection that has been idle for several seconds is not reused. The server may be about to close it, and it would
/// be unknown whether a request written at that moment was executed.
class attempt_connections {
public:
    using event_sink = std::function<void(coordination::event)>;

    /// \param attemptPrefix makes attempt ids unique across all nodes and process restarts
    /// \param events receives the `attempt_finished` event of each attempt
    attempt_connections(
        uv_loop_t* loop, std::string attemptPrefix, const protocol::http::message_limits& limits, event_sink events);
    ~attempt_connections();
    attempt_connections(const attempt_connections&) = delete;
    attempt_connections& operator=(const attempt_connections&) = delete;

    /// Counts the answers on connections opened from now on against a budget.
    void useBudget(std::shared_ptr<coordination::memory_budget> budget) { m_budget = std::move(budget); }

    /// Starts an attempt. If the limit of connections to the server is reached, it ends immediately as no_connection.
    void send(const coordination::send_attempt& attempt);

    /// Ends an attempt whose answer is no longer needed. Before the connection is established, no request is written.
    /// Afterwards the connection is closed and a cancel request is sent to the server.
    void cancel(state::attempt_id id);

    /// Sets the maximum idle time after which a connection is not reused.
    void setMaxIdleTime(state::duration span) noexcept { m_maxIdleTime = span; }

    [[nodiscard]] std::size_t openConnections() const noexcept; ///< idle and in use, to all servers

    /// Closes all connections. Attempts in flight end without an event.
    void close();

private:
    struct pooled_connection;
    using connection_pointer = std::shared_ptr<pooled_connection>;

    /// The connections to one address.
    struct connection_pool {
        std::vector<connection_pointer> idle; ///< longest idle first
        std::uint32_t open = 0; ///< idle and in use
    };

    [[nodiscard]] connection_pointer acquireConnection(const coordination::send_attempt& attempt);
    [[nodiscard]] connection_pointer openConnection(const std::string& address);
    void release(const connection_pointer& connection);
    void drop(const connection_pointer& connection);
    void closeIdle();
    void handleAnswer(const connection_pointer& connection, protocol::http::message answer);
    void handleFailure(const connection_pointer& connection, connection_failure reason);
    void handleDeadline(const connection_pointer& connection);
    void finish(const connection_pointer& connection, state::attempt_outcome outcome);
    void finish(const coordination::send_attempt& attempt, state::attempt_outcome outcome);

    uv_loop_t* m_loop;
    std::string m_attemptPrefix;
    protocol::http::message_limits m_limits;
    event_sink m_events;
    std::shared_ptr<coordination::memory_budget> m_budget;
    /// Must be below the idle timeout of the servers, which is at least 5 s.
    state::duration m_maxIdleTime = std::chrono::seconds { 4 };
    absl::flat_hash_map<std::string, connection_pool> m_servers; ///< by address
    absl::flat_hash_map<state::attempt_id, connection_pointer> m_inFlight;
    http_fetcher m_cancelFetcher;
    timer m_idleTimer;
};

} // namespace acaciaslip::transport::loop
