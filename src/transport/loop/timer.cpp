#include "transport/loop/timer.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::transport::loop {

struct timer::handle {
    uv_timer_t timer {};
    std::function<void()> callback;
};

timer::timer(uv_loop_t* loop, std::function<void()> callback)
    : m_handle(new handle { {}, std::move(callback) })
{
    uv_timer_init(loop, &m_handle->timer);
    m_handle->timer.data = m_handle;
}

timer::~timer()
{
    m_handle->callback = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->timer),
        [](uv_handle_t* closed) { delete static_cast<handle*>(closed->data); });
}

void timer::start(state::duration delay)
{
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(std::max(delay, state::duration::zero()));
    // The loop caches the time of its last iteration; without an update the delay would count from then.
    uv_update_time(m_handle->timer.loop);
    uv_timer_start(
        &m_handle->timer,
        [](uv_timer_t* fired) {
            // The callback may destroy this timer.
            const auto callback = static_cast<handle*>(fired->data)->callback;
            callback();
        },
        static_cast<std::uint64_t>(timeout.count()), 0);
}

void timer::stop()
{
    uv_timer_stop(&m_handle->timer);
}

} // namespace acaciaslip::transport::loop
