#pragma once

#include "coordination/gateway/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "protocol/server_http_messages.hpp"
#include "transport/loop/caller_listener.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace acaciaslip::transport::loop {

/// HTTP server for callers: reads their requests and writes the answers.
class caller_server {
public:
    using event_sink = std::function<void(coordination::gateway::event)>;

    /// \param format must outlive this
    caller_server(uv_loop_t* loop, const protocol::server_http_format& format, event_sink sink);

    [[nodiscard]] absl::Status listen(const std::string& address);
    [[nodiscard]] int port() const { return m_listener.port(); }

    /// Sets the limits of new connections; open connections keep theirs.
    void setLimits(const connection_limits& limits) { m_listener.setLimits(limits); }

    /// Counts the requests of new connections against a budget.
    void useBudget(std::shared_ptr<coordination::memory_budget> budget) { m_listener.useBudget(std::move(budget)); }

    /// Returns the request as received from the caller, or null if the caller has disconnected.
    [[nodiscard]] const protocol::http::message* findRequest(state::request_id id) const;

    /// Forwards a server's answer to the caller.
    void answer(const coordination::gateway::answer_caller& effect, const protocol::http::message& answer);

    /// Sends a refusal to the caller instead of a server's answer.
    void refuse(const coordination::gateway::refuse_caller& effect);

    /// Closes each connection once no request is in progress on it; idle connections are closed immediately.
    void drain();

    /// Whether no request is in progress and all answers have been handed to the operating system.
    [[nodiscard]] bool isDrained() const { return m_listener.isDrained(); }

    void close() { m_listener.close(); }

private:
    struct pending_request {
        protocol::http::message request;
        std::weak_ptr<caller_connection> connection;
    };

    void handleRequest(
        state::request_id id, const std::shared_ptr<caller_connection>& from, protocol::http::message request);
    void finish(state::request_id id, const answer_writer& write, connection_persistence persistence,
        std::shared_ptr<const void> held = {});

    const protocol::server_http_format& m_format;
    event_sink m_sink;
    caller_listener m_listener;
    std::unordered_map<std::uint64_t, pending_request> m_requests; ///< by request id
};

} // namespace acaciaslip::transport::loop
