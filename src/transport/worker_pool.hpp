#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <pthread.h>
#include <tbb/concurrent_queue.h>

namespace acaciaslip::transport {

/// Threads of one duty, fed by one bounded ring.
///
/// Jobs are taken in order; with more than one thread they may finish in any order.
template <typename Job> class worker_pool {
public:
    /// \param name of the threads, at most 15 characters
    /// \param capacity of the ring
    /// \param work runs on a thread of the pool for each job
    worker_pool(const std::string& name, std::size_t threads, std::size_t capacity, std::function<void(Job&)> work)
        : m_work(std::move(work))
    {
        m_ring.set_capacity(static_cast<std::ptrdiff_t>(capacity));
        for (std::size_t index = 0; index < threads; ++index) {
            m_threads.emplace_back([this] { run(); });
            pthread_setname_np(m_threads.back().native_handle(), name.substr(0, 15).c_str());
        }
    }

    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    ~worker_pool() { stop(); }

    /// Adds a job unless the ring is full.
    [[nodiscard]] bool tryPush(Job job) { return m_ring.try_push(std::move(job)); }

    /// Adds a job; waits while the ring is full.
    void push(Job job) { m_ring.push(std::move(job)); }

    /// Lets the jobs already added finish, then ends the threads. Safe to call twice.
    void stop()
    {
        for (std::size_t index = 0; index < m_threads.size(); ++index)
            m_ring.push(std::nullopt);
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

private:
    void run()
    {
        std::optional<Job> job;
        for (;;) {
            m_ring.pop(job);
            if (!job)
                return;
            m_work(*job);
            job.reset();
        }
    }

    std::function<void(Job&)> m_work;
    tbb::concurrent_bounded_queue<std::optional<Job>> m_ring;
    std::vector<std::thread> m_threads;
};

} // namespace acaciaslip::transport
