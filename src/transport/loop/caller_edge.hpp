#pragma once

#include "coordination/gateway/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "protocol/server_dialect.hpp"
#include "transport/loop/caller_listener.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace acaciaslip::transport::loop {

/// The side on which callers connect: reads requests and writes answers.
class caller_edge {
public:
    using event_sink = std::function<void(coordination::gateway::event)>;

    /// \param dialect must outlive this
    caller_edge(uv_loop_t* loop, const protocol::server_dialect& dialect, event_sink sink);

    [[nodiscard]] absl::Status listen(const std::string& address);
    [[nodiscard]] int port() const { return m_listener.port(); }

    /// What new connections may take up; open ones keep what they have.
    void setLimits(const connection_limits& limits) { m_listener.setLimits(limits); }

    /// The request as its caller sent it; null when the caller has gone.
    [[nodiscard]] const protocol::http::message* findRequest(state::request_id id) const;

    /// Gives a caller a server's answer.
    void answer(const coordination::gateway::answer_caller& wanted, const protocol::http::message& answer);

    /// Tells a caller that there is none.
    void refuse(const coordination::gateway::refuse_caller& wanted);

    /// Ends every connection on which no request is in progress, and the others after their last answer.
    void leave();

    /// Whether every answer is with the system.
    [[nodiscard]] bool isQuiet() const { return m_listener.isQuiet(); }

    void close() { m_listener.close(); }

private:
    struct waiting_request {
        protocol::http::message request;
        std::weak_ptr<caller_connection> connection;
    };

    void noteArrived(
        state::request_id id, const std::shared_ptr<caller_connection>& from, protocol::http::message request);
    void finish(state::request_id id, std::string bytes, bool close);

    const protocol::server_dialect& m_dialect;
    event_sink m_sink;
    caller_listener m_listener;
    std::unordered_map<std::uint64_t, waiting_request> m_requests; ///< by request id
};

} // namespace acaciaslip::transport::loop
