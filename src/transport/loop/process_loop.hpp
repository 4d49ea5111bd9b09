#pragma once

#include "transport/loop/log_writer.hpp"

#include <cstdint>
#include <functional>

#include <uv.h>

namespace acaciaslip::transport::loop {

/// The single event loop of a process and its log on standard output.
class process_loop {
public:
    explicit process_loop(coordination::log_level lowest);
    /// Waits for background jobs to finish. The owners of other handles on the loop must have closed them before.
    ~process_loop();
    process_loop(const process_loop&) = delete;
    process_loop& operator=(const process_loop&) = delete;

    /// Runs until `stop` is called.
    void run();
    void stop() { uv_stop(&m_loop); }

    /// Runs work that would block the loop on a thread of libuv's pool, then calls back on the loop's thread.
    /// \param work must not access data that code on the loop's thread uses
    /// \param done also called during destruction of this object: data that it accesses must still exist then, or be
    /// checked first
    void runInBackground(std::function<void()> work, std::function<void()> done);

    [[nodiscard]] uv_loop_t* handle() noexcept { return &m_loop; }
    [[nodiscard]] log_writer& log() noexcept { return m_log; }

private:
    struct background_job;

    uv_loop_t m_loop {};
    uv_prepare_t m_prepare {};
    log_writer m_log;
    std::uint32_t m_backgroundJobs = 0; ///< queued or running on the thread pool
};

/// Returns a random seed that differs between processes.
[[nodiscard]] std::uint64_t makeSeed();

} // namespace acaciaslip::transport::loop
