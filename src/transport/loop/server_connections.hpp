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

    /// \param dialect must outlive this
    server_connections(
        uv_loop_t* loop, const protocol::server_http_format& dialect, event_sink sink, request_source requests);

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
    struct server_link;
    using link_pointer = std::shared_ptr<server_link>;

    link_pointer takeLink(const std::string& address, std::size_t limit);
    link_pointer openLink(const std::string& address);
    std::unique_ptr<timer> makeProbeTimer(const link_pointer& link);
    bool retryProbe(const link_pointer& failed);
    void returnToPool(const link_pointer& link);
    void closeLink(const link_pointer& link);
    void handleAnswer(const link_pointer& link, protocol::http::message answer);
    void handleFailure(const link_pointer& link, connection_failure reason);
    void failExchange(const link_pointer& link, connection_failure reason);
    void finishProbe(const link_pointer& link, const protocol::http::message& answer);
    void finishAttempt(const link_pointer& link, protocol::http::message answer);

    uv_loop_t* m_loop;
    const protocol::server_http_format& m_dialect;
    event_sink m_sink;
    request_source m_requests;
    std::unordered_map<std::string, std::vector<link_pointer>> m_idle; ///< by address; most recently used last
    std::unordered_map<server_link*, link_pointer> m_links;
    std::unordered_map<std::string, std::size_t> m_open; ///< number of links by address, idle and in use
    std::unordered_map<std::uint64_t, link_pointer> m_attempts; ///< by attempt id
    std::unordered_map<std::uint64_t, protocol::http::message> m_answers; ///< by attempt id
    std::uint64_t m_opened = 0;
};

} // namespace acaciaslip::transport::loop
