#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "protocol/node_dialect.hpp"
#include "transport/loop/caller_listener.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::transport::loop {

/// What callers may take up of a node.
struct edge_limits {
    protocol::http::message_limits message { 32768, 8ULL * 1024 * 1024, 8000, 100 };
    std::size_t connections = 8192; ///< beyond it a connection is answered 503 and closed
    state::duration idle = std::chrono::seconds { 60 }; ///< between two requests of a connection
    state::duration request = std::chrono::seconds { 20 }; ///< from a request's first byte to its last
    state::duration quiet = std::chrono::milliseconds { 300 }; ///< at the stop: with no new connection, ends listening
    state::duration listen = std::chrono::seconds { 3 }; ///< at the stop: ends listening although connections come
    state::duration stop = std::chrono::seconds { 10 }; ///< the longest that the stop waits for callers
};

/// The port that callers of a node reach.
class node_caller_edge {
public:
    using event_sink = std::function<void(coordination::event)>;

    /// \param limits half of the process's descriptors bound the connections too, so that as many may lead to servers
    node_caller_edge(uv_loop_t* loop, const edge_limits& limits, event_sink events);

    [[nodiscard]] absl::Status listen(const std::string& address) { return m_listener.listen(address); }
    [[nodiscard]] int port() const { return m_listener.port(); }

    /// Gives a caller a server's answer.
    void answer(const coordination::answer_caller& wanted);

    /// Tells a caller that there is none.
    void refuse(const coordination::refuse_caller& wanted);

    /// Takes connections until none comes any more, answers every request that was read, refuses those of which only
    /// a part has come, then closes.
    /// \param stopped called when all that is done
    void stop(std::function<void()> stopped);

    [[nodiscard]] std::size_t openConnections() const noexcept { return m_listener.openConnections(); }

    /// Closes at once.
    void close();

private:
    enum class stop_stage { none, listening, refusing };

    struct waiting_request {
        std::weak_ptr<caller_connection> connection;
        protocol::answer_form form;
    };

    void noteArrived(
        state::request_id id, const std::shared_ptr<caller_connection>& from, protocol::http::message request);
    void finish(
        state::request_id id, const std::function<std::string(const protocol::answer_form&)>& write, bool close);
    void continueStop();

    edge_limits m_limits;
    event_sink m_events;
    caller_listener m_listener;
    absl::flat_hash_map<state::request_id, waiting_request> m_waiting;
    timer m_stopPoll;
    stop_stage m_stage = stop_stage::none;
    std::function<void()> m_stopped;
    state::time_point m_stageSince;
    state::time_point m_quietSince;
    std::uint64_t m_seen = 0; ///< connections, when `m_quietSince` was set
};

} // namespace acaciaslip::transport::loop
