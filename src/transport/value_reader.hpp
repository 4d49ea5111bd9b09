#pragma once

#include "coordination/effects.hpp"
#include "transport/decision_thread.hpp"
#include "transport/worker_pool.hpp"

namespace acaciaslip::transport {

/// Threads that read published values from the platform; a watch holds a thread while it waits.
class value_reader {
public:
    explicit value_reader(decision_thread& decisions);

    /// Queues a read; one that finds the ring full fails.
    void read(coordination::fetch_value wanted);

    /// Lets running reads end, then the threads.
    void stop();

private:
    void carryOut(const coordination::fetch_value& wanted);

    decision_thread& m_decisions;
    worker_pool<coordination::fetch_value> m_workers;
};

} // namespace acaciaslip::transport
