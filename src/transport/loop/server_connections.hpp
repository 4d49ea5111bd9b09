#pragma once

#include "coordination/gateway/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "protocol/server_http_messages.hpp"
#include "transport/loop/http_connection.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciaslip::transport::loop {

/// Pool of keep-alive connections to servers. Sends load probes and requests over them.
class server_connections {
public:
    using event_sink = std::function<void(coordination::gateway::event)>;
    /// Returns the request to send for an attempt, or null if its caller has disconnected.
    using request_source = std::function<const protocol::http::message*(state::request_id)>;

    /// \param format must outlive this
    server_connections(
        uv_loop_t* loop, const protocol::server_http_format& format, event_sink sink, request_source requests);

    /// Counts the answers on new connections against a budget. An attempt whose answer does not fit fails.
    void useBudget(std::shared_ptr<coordination::memory_budget> budget) { m_budget = std::move(budget); }

    /// Probes a server, unless that would exceed the number of connections that this node may hold to it.
    void probe(const coordination::gateway::probe_server& wanted);
    /// Sends a request. Opens a connection beyond the limit if none is idle, because the server has already been chosen
    /// for this request.
    void send(const coordination::gateway::send_request& wanted);
    void cancel(state::attempt_id attempt);

    /// Removes and returns the answer to an attempt; empty if there is none.
    [[nodiscard]] protocol::http::message takeAnswer(state::attempt_id attempt);
    void discardAnswer(state::attempt_id attempt);

    /// Closes all connections.
    void close();

    /// Number of connections opened since the start of the process.
    [[nodiscard]] std::uint64_t connectionsOpened() const noexcept { return m_opened; }

private:
    struct pooled_connection;
    using connection_pointer = std::shared_ptr<pooled_connection>;

    /// \param requestId of the request that it is for; empty for a probe
    connection_pointer acquireConnection(const std::string& address, std::size_t limit, std::string_view requestId);
    connection_pointer takeIdleConnection(const std::string& address, std::string_view requestId);
    connection_pointer openConnection(const std::string& address);
    std::unique_ptr<timer> makeProbeTimer(const connection_pointer& connection);
    bool retryProbe(const connection_pointer& failed);
    void returnToPool(const connection_pointer& connection);
    void closeConnection(const connection_pointer& connection);
    void handleAnswer(const connection_pointer& connection, protocol::http::message answer);
    void handleFailure(const connection_pointer& connection, connection_failure reason);
    void failExchange(const connection_pointer& connection, connection_failure reason);
    void finishProbe(const connection_pointer& connection, const protocol::http::message& answer);
    void finishAttempt(const connection_pointer& connection, protocol::http::message answer);

    uv_loop_t* m_loop;
    const protocol::server_http_format& m_format;
    event_sink m_sink;
    request_source m_requests;
    std::unordered_map<std::string, std::vector<connection_pointer>> m_idle; ///< by address; most recently used last
    std::unordered_map<pooled_connection*, connection_pointer> m_connections;
    std::unordered_map<std::string, std::size_t> m_open; ///< number of connections by address, idle and in use
    std::unordered_map<std::uint64_t, connection_pointer> m_attempts; ///< by attempt id
    std::unordered_map<std::uint64_t, protocol::http::message> m_answers; ///< by attempt id
    std::shared_ptr<coordination::memory_budget> m_budget;
    std::uint64_t m_opened = 0;
};

} // namespace acaciaslip::transport::loop
