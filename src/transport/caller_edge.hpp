#pragma once

#include "state/node_settings.hpp"
#include "transport/caller_loop.hpp"
#include "transport/edge_limits.hpp"
#include "transport/event_sink.hpp"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <absl/status/status.h>
#include <httplib.h>

namespace acaciaslip::transport {

/// The port that callers reach.
///
/// One thread takes connections and deals them out to a few threads that read whole requests, hand them to the node,
/// and write whole answers.
class caller_edge {
public:
    caller_edge(const event_sink& events, const state::node_settings& settings, const edge_limits& limits = {});
    caller_edge(const caller_edge&) = delete;
    caller_edge& operator=(const caller_edge&) = delete;
    ~caller_edge();

    /// Binds the port and starts to take connections.
    [[nodiscard]] absl::Status start();

    /// Tells a request's result. Called by the thread that decides; waits for nothing.
    void finish(caller_result result);

    /// Takes connections until none comes any more, answers every request that was taken, then ends. Requests that
    /// still arrive are handed to the node, which refuses them. Safe to call twice.
    void stop();

    /// Connections that are open.
    [[nodiscard]] std::size_t openConnections() const noexcept;

private:
    /// httplib's listener; each connection that it takes is passed on.
    class listener final : public httplib::Server {
    public:
        explicit listener(caller_edge& edge);
        void deepenBacklog();

    private:
        bool process_and_close_socket(socket_t sock) override;

        caller_edge& m_edge;
    };

    void take(int socket);
    void awaitQuiet() const;

    state::node_settings m_settings;
    edge_limits m_limits;
    std::vector<std::unique_ptr<caller_loop>> m_loops;
    listener m_listener;
    std::thread m_thread;
    std::atomic<std::uint64_t> m_taken { 0 }; ///< connections, ever
};

} // namespace acaciaslip::transport
