#pragma once

#include "coordination/effects.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>

namespace acaciaslip::transport::loop {

/// Writes log lines to a file descriptor without ever waiting for its reader.
///
/// Lines gather until `flush`, so that a burst costs one system call. What the reader does not take in time is dropped
/// and counted; a line says how much as soon as there is room again. More lines than a reader can follow are dropped in
/// the same way, warnings and errors excepted.
class log_writer {
public:
    /// \param descriptor is switched to non-blocking
    log_writer(int descriptor, coordination::log_level lowest);

    void write(const coordination::log_event& event);
    void flush();

    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; } ///< lines, since the start

private:
    bool hasRoom(coordination::log_level level);

    int m_descriptor;
    coordination::log_level m_lowest;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTold = 0;
    state::time_point m_secondBegan;
    std::uint32_t m_linesInSecond = 0;
};

} // namespace acaciaslip::transport::loop
