#pragma once

#include "coordination/gateway/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "protocol/server_dialect.hpp"
#include "transport/loop/caller_connection.hpp"
#include "transport/loop/tcp_listener.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

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
    void setLimits(const connection_limits& limits) { m_limits = limits; }

    /// The request as its caller sent it; null when the caller has gone.
    [[nodiscard]] const protocol::http::message* findRequest(state::request_id id) const;

    /// Gives a caller a server's answer.
    void answer(const coordination::gateway::answer_caller& wanted, const protocol::http::message& answer);

    /// Tells a caller that there is none.
    void refuse(const coordination::gateway::refuse_caller& wanted);

    /// Ends every connection on which no request is in progress, and the others after their last answer.
    void leave();

    /// Whether every answer is with the system.
    [[nodiscard]] bool isQuiet() const;

    void close();

private:
    struct waiting_request {
        protocol::http::message request;
        std::weak_ptr<caller_connection> connection;
    };

    void accept(uv_stream_t* listener);
    void noteArrived(
        const std::weak_ptr<caller_connection>& from, state::request_id id, protocol::http::message request);
    void finish(state::request_id id, std::string bytes, bool close);

    const protocol::server_dialect& m_dialect;
    event_sink m_sink;
    tcp_listener m_listener;
    connection_limits m_limits;
    std::unordered_set<std::shared_ptr<caller_connection>> m_connections;
    std::unordered_map<std::uint64_t, waiting_request> m_requests; ///< by request id
    std::uint64_t m_nextRequest = 1;
};

} // namespace acaciaslip::transport::loop
