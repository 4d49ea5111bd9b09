#pragma once

#include "coordination/effects.hpp"
#include "transport/decision_thread.hpp"
#include "transport/worker_pool.hpp"

namespace acaciaslip::transport {

/// Threads that read servers' health and load endpoints.
class server_prober {
public:
    explicit server_prober(decision_thread& decisions);

    /// Queues a probe; one that finds the ring full ends as not answered.
    void probe(coordination::probe_server wanted);

    /// Lets running probes end, then the threads.
    void stop();

private:
    void carryOut(const coordination::probe_server& wanted);

    decision_thread& m_decisions;
    worker_pool<coordination::probe_server> m_workers;
};

} // namespace acaciaslip::transport
