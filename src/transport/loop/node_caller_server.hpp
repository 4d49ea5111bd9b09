#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "protocol/node_http_messages.hpp"
#include "transport/loop/caller_listener.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::transport::loop {

/// Limits on the connections and requests of callers.
struct caller_limits {
    protocol::http::message_limits message { 32768, 8ULL * 1024 * 1024, 8000, 100 };
    std::size_t maxConnections = 8192; ///< further connections are answered with 503 and closed
    state::duration idleTimeout
        = std::chrono::seconds { 60 }; ///< longest idle time between two requests on a connection
    state::duration requestTimeout
        = std::chrono::seconds { 20 }; ///< timeout from the first to the last byte of a request
    /// During shutdown, listening ends after this time without a new connection.
    state::duration newConnectionTimeout = std::chrono::milliseconds { 300 };
    /// During shutdown, listening ends after this time even if new connections still arrive.
    state::duration maxListenTime = std::chrono::seconds { 3 };
    state::duration shutdownTimeout = std::chrono::seconds { 10 }; ///< longest time that shutdown waits for callers
};

/// HTTP listener for callers of a node.
class node_caller_server {
public:
    using event_sink = std::function<void(coordination::event)>;

    /// \param limits connections are also capped at half of the process's file descriptors, which leaves as many for
    /// connections to servers
    node_caller_server(uv_loop_t* loop, const caller_limits& limits, event_sink events);

    [[nodiscard]] absl::Status listen(const std::string& address) { return m_listener.listen(address); }
    [[nodiscard]] int port() const { return m_listener.port(); }

    /// Counts the requests from now on against a budget. One that does not fit is refused as not run.
    void useBudget(std::shared_ptr<coordination::memory_budget> budget) { m_listener.useBudget(std::move(budget)); }

    /// Sends a server's answer to the caller.
    void answer(const coordination::answer_caller& wanted);

    /// Sends a refusal to the caller, who gets no answer from a server.
    void refuse(const coordination::refuse_caller& wanted);

    /// Starts a graceful shutdown: accepts connections until no new ones arrive, answers every request that was read
    /// completely, refuses partially received ones, then closes.
    /// \param stopped called when the shutdown has finished
    void stop(std::function<void()> stopped);

    [[nodiscard]] std::size_t openConnections() const noexcept { return m_listener.openConnections(); }

    /// Closes the listener and all connections immediately.
    void close();

private:
    enum class stop_stage { none, listening, refusing };

    struct pending_request {
        std::weak_ptr<caller_connection> connection;
        bool isHeadRequest = false;
    };

    void handleRequest(
        state::request_id id, const std::shared_ptr<caller_connection>& from, protocol::http::message request);
    void finish(state::request_id id, const std::function<std::string(const protocol::answer_options&)>& write,
        bool close, std::shared_ptr<const void> held = {});
    void continueStop();

    caller_limits m_limits;
    event_sink m_events;
    caller_listener m_listener;
    absl::flat_hash_map<state::request_id, pending_request> m_pending;
    timer m_stopPoll;
    stop_stage m_stage = stop_stage::none;
    std::function<void()> m_stopped;
    state::time_point m_stageSince;
    state::time_point m_lastNewConnection;
    std::uint64_t m_lastAcceptedCount = 0; ///< accepted connections at the last poll
};

} // namespace acaciaslip::transport::loop
