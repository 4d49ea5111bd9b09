#pragma once

#include "coordination/effects.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>

namespace acaciaslip::transport::loop {

/// Writes log lines to a file descriptor without blocking on a slow reader.
///
/// Lines are buffered until `flush`, so that a burst costs one system call. Lines that do not fit into the buffer are
/// dropped and counted; a later line reports their number as soon as there is room again. Lines beyond a rate limit are
/// dropped in the same way, except warnings and errors.
class log_writer {
public:
    /// \param descriptor is set to non-blocking mode
    log_writer(int descriptor, coordination::log_level lowest);

    void write(const coordination::log_event& event);
    void flush();

    /// Number of lines dropped since the start of the process.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    bool isWithinRateLimit(coordination::log_level level);

    int m_descriptor;
    coordination::log_level m_lowest;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    state::time_point m_secondStart;
    std::uint32_t m_linesInSecond = 0;
};

} // namespace acaciaslip::transport::loop
