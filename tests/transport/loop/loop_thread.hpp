#pragma once

#include "transport/loop/timer.hpp"

#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

#include <uv.h>

namespace acaciaslip::transport::loop {

/// An event loop on a thread of its own, so that the test's thread can use blocking sockets.
class loop_thread {
public:
    loop_thread()
    {
        uv_loop_init(&m_loop);
        uv_async_init(&m_loop, &m_wake, [](uv_async_t* wake) { static_cast<loop_thread*>(wake->data)->runPosted(); });
        m_wake.data = this;
        m_thread = std::thread([this] { uv_run(&m_loop, UV_RUN_DEFAULT); });
    }

    /// Every other handle on the loop must have been closed before.
    ~loop_thread()
    {
        post([this] { uv_close(reinterpret_cast<uv_handle_t*>(&m_wake), nullptr); });
        m_thread.join();
        uv_loop_close(&m_loop);
    }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    [[nodiscard]] uv_loop_t* handle() noexcept { return &m_loop; }

    /// Queues a function to be called on the loop's thread; does not wait for it.
    void post(std::function<void()> call)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_posted.push_back(std::move(call));
        }
        uv_async_send(&m_wake);
    }

    /// Calls a function on the loop's thread and waits for its result.
    template <typename Call> auto call(Call callable)
    {
        std::packaged_task<decltype(callable())()> task(std::move(callable));
        auto result = task.get_future();
        post([&task] { task(); });
        return result.get();
    }

private:
    void runPosted()
    {
        std::deque<std::function<void()>> calls;
        {
            const std::lock_guard lock(m_mutex);
            calls.swap(m_posted);
        }
        for (const auto& posted : calls)
            posted();
    }

    uv_loop_t m_loop {};
    uv_async_t m_wake {};
    std::mutex m_mutex;
    std::deque<std::function<void()>> m_posted;
    std::thread m_thread;
};

} // namespace acaciaslip::transport::loop
