#pragma once

#include "coordination/effects.hpp"
#include "transport/connection_pool.hpp"
#include "transport/decision_thread.hpp"
#include "transport/worker_pool.hpp"

#include <string>

namespace acaciaslip::transport {

/// Threads that send requests to servers and read whole answers.
class attempt_sender {
public:
    /// \param attemptPrefix makes attempt ids unique over all nodes and starts
    attempt_sender(decision_thread& decisions, std::string attemptPrefix, std::size_t threads);

    /// Queues an attempt; one that finds the ring full ends as no_connection.
    void send(coordination::send_attempt attempt);

    /// Ends an attempt whose answer nobody waits for.
    void cancel(const coordination::cancel_attempt& cancelled);

    /// Lets running attempts end, then the threads.
    void stop();

private:
    void carryOut(const coordination::send_attempt& attempt);

    decision_thread& m_decisions;
    std::string m_attemptPrefix;
    connection_pool m_connections;
    worker_pool<coordination::send_attempt> m_workers;
};

} // namespace acaciaslip::transport
