#pragma once

#include "coordination/effects.hpp"
#include "transport/address.hpp"
#include "transport/decision_thread.hpp"
#include "transport/worker_pool.hpp"

namespace acaciaslip::transport {

/// Threads that read published values from the platform and from other nodes; a watch holds a thread while it waits.
class value_reader {
public:
    /// \param prepare reads a value ahead on the thread that fetched it, so that the decision thread need not
    explicit value_reader(
        decision_thread& decisions, std::function<void(const coordination::value_received&)> prepare = {});

    /// Queues a read; one that finds the ring full fails.
    void read(coordination::fetch_value wanted);

    /// Lets running reads end, then the threads.
    void stop();

private:
    void carryOut(const coordination::fetch_value& wanted);
    [[nodiscard]] std::optional<coordination::value_received> readPlatform(
        const coordination::fetch_value& wanted, const address& target) const;
    [[nodiscard]] std::optional<coordination::value_received> readPeer(
        const coordination::fetch_value& wanted, const address& target) const;

    decision_thread& m_decisions;
    std::function<void(const coordination::value_received&)> m_prepare;
    worker_pool<coordination::fetch_value> m_workers;
};

} // namespace acaciaslip::transport
