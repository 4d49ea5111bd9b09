#pragma once

#include "coordination/node.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <thread>
#include <variant>

#include <tbb/concurrent_queue.h>

namespace acaciaslip::transport {

/// Reads the node between two events, on the decision thread.
using inspection = std::function<void(const coordination::node&, state::time_point now)>;

/// Carries out an effect; must not block.
using effect_sink = std::function<void(coordination::effect&&)>;

/// The one thread that decides: takes events from a bounded ring, hands effects to the sink.
class decision_thread {
public:
    /// \param seed of every random choice
    decision_thread(coordination::node node, std::uint64_t seed, effect_sink sink);
    decision_thread(const decision_thread&) = delete;
    decision_thread& operator=(const decision_thread&) = delete;
    ~decision_thread();

    /// Starts the thread and its ticks.
    void start();

    /// Hands an event to the thread; waits while the ring is full.
    void post(coordination::event event);

    /// Hands an event to the thread unless the ring is full.
    [[nodiscard]] bool tryPost(coordination::event event);

    /// Has the thread call back with the node.
    void inspect(inspection callback);

    /// How many events and inspections wait to be taken.
    [[nodiscard]] std::size_t eventsWaiting() const
    {
        return static_cast<std::size_t>(std::max<std::ptrdiff_t>(m_ring.size(), 0));
    }

    /// Ends the thread after the events already posted. Safe to call twice.
    void stop();

private:
    struct stop_token { };
    using job = std::variant<stop_token, coordination::event, inspection>;

    void run();

    coordination::node m_node;
    coordination::random_generator m_random;
    effect_sink m_sink;
    tbb::concurrent_bounded_queue<job> m_ring;
    std::thread m_thread;
    std::jthread m_ticks;
};

} // namespace acaciaslip::transport
