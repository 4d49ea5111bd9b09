#pragma once

#include "transport/loop/log_writer.hpp"

#include <cstdint>
#include <functional>

#include <uv.h>

namespace acaciaslip::transport::loop {

/// A process's one event loop, with its log to standard output.
class process_loop {
public:
    explicit process_loop(coordination::log_level lowest);
    /// Waits until work beside the loop has ended. Handles that others have put on the loop are theirs to close before.
    ~process_loop();
    process_loop(const process_loop&) = delete;
    process_loop& operator=(const process_loop&) = delete;

    /// Runs until `stop`.
    void run();
    void stop() { uv_stop(&m_loop); }

    /// Runs work that would hold the loop up on a thread of the library's pool, then calls back in the loop.
    /// \param work must touch nothing that the loop's own code uses
    /// \param done called also while this ends: what it touches must be checked or live until then
    void runBeside(std::function<void()> work, std::function<void()> done);

    [[nodiscard]] uv_loop_t* handle() noexcept { return &m_loop; }
    [[nodiscard]] log_writer& log() noexcept { return m_log; }

private:
    struct background_job;

    uv_loop_t m_loop {};
    uv_prepare_t m_prepare {};
    log_writer m_log;
    std::uint32_t m_jobs = 0; ///< beside the loop
};

/// A seed for random choices that no two processes share.
[[nodiscard]] std::uint64_t makeSeed();

} // namespace acaciaslip::transport::loop
