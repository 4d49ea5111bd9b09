#include "transport/decision_thread.hpp"

#include "transport/clock.hpp"

#include <pthread.h>

namespace acaciaslip::transport {

namespace {

constexpr std::ptrdiff_t ringCapacity = 16384;
constexpr std::chrono::milliseconds tickInterval { 10 };

} // namespace

decision_thread::decision_thread(coordination::node node, std::uint64_t seed, effect_sink sink)
    : m_node(std::move(node))
    , m_random(seed)
    , m_sink(std::move(sink))
{
    m_ring.set_capacity(ringCapacity);
}

decision_thread::~decision_thread()
{
    stop();
}

void decision_thread::start()
{
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), "decide");
    m_ticks = std::jthread([this](const std::stop_token& stopping) {
        while (!stopping.stop_requested()) {
            std::this_thread::sleep_for(tickInterval);
            (void)m_ring.try_push(coordination::event { coordination::tick {} });
        }
    });
    pthread_setname_np(m_ticks.native_handle(), "tick");
}

void decision_thread::post(coordination::event event)
{
    m_ring.push(std::move(event));
}

bool decision_thread::tryPost(coordination::event event)
{
    return m_ring.try_push(std::move(event));
}

void decision_thread::inspect(inspection callback)
{
    m_ring.push(std::move(callback));
}

void decision_thread::stop()
{
    if (!m_thread.joinable())
        return;
    m_ticks.request_stop();
    m_ticks.join();
    m_ring.push(stop_token {});
    m_thread.join();
}

void decision_thread::run()
{
    coordination::effect_list effects;
    job next;
    for (;;) {
        m_ring.pop(next);
        if (std::holds_alternative<stop_token>(next))
            return;
        if (const auto* callback = std::get_if<inspection>(&next)) {
            (*callback)(m_node, monotonicNow());
            continue;
        }
        coordination::handle(m_node, std::get<coordination::event>(next), monotonicNow(), m_random, effects);
        for (auto& effect : effects)
            m_sink(std::move(effect));
        effects.clear();
    }
}

} // namespace acaciaslip::transport
