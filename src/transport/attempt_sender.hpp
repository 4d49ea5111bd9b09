#pragma once

#include "coordination/effects.hpp"
#include "transport/connection_pool.hpp"
#include "transport/event_sink.hpp"
#include "transport/worker_pool.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::transport {

/// Threads that send requests to servers and read whole answers.
///
/// An attempt never waits behind another: when every thread is busy it ends at once as no_connection. A few threads
/// are kept for second attempts, so that a stall which holds all first attempts leaves room for retries and hedges.
class attempt_sender {
public:
    /// \param events takes each attempt's end
    /// \param attemptPrefix makes attempt ids unique over all nodes and starts
    /// \param threads attempts that may run at a time
    attempt_sender(
        event_sink events, std::string attemptPrefix, std::size_t threads, const protocol::message_limits& limits = {});

    /// Starts an attempt.
    void send(coordination::send_attempt attempt);

    /// Ends an attempt whose answer nobody waits for. One that has written nothing writes nothing; of one that has,
    /// the connection is closed and the server told.
    void cancel(const coordination::cancel_attempt& cancelled);

    /// Lets running attempts end, then the threads.
    void stop();

private:
    /// An attempt between send() and its end.
    struct running_attempt {
        coordination::send_attempt attempt;
        std::string id; ///< that the server must echo
        std::atomic<bool> cancelled = false;
        std::shared_ptr<server_connection> connection; ///< guarded by m_mutex
    };
    using running_pointer = std::shared_ptr<running_attempt>;

    [[nodiscard]] bool takeThread(const coordination::send_attempt& attempt);
    void carryOut(const running_pointer& running);
    [[nodiscard]] coordination::attempt_finished exchangeWith(running_attempt& running);
    void tellCancelled(const running_pointer& running);

    event_sink m_events;
    std::string m_attemptPrefix;
    std::size_t m_threads;
    protocol::message_limits m_limits;
    connection_pool m_connections;
    std::atomic<std::size_t> m_busy { 0 };
    std::mutex m_mutex;
    absl::flat_hash_map<state::attempt_id, running_pointer> m_running;
    std::vector<state::attempt_id> m_unsaid; ///< ended as no_connection while the sink had no room
    worker_pool<running_pointer> m_cancels;
    worker_pool<running_pointer> m_workers;
};

} // namespace acaciaslip::transport
