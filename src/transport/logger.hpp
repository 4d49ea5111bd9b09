#pragma once

#include "coordination/effects.hpp"

#include <chrono>
#include <string>

namespace acaciaslip::transport {

/// Formats one event as one line, without the line's end.
[[nodiscard]] std::string formatLogLine(
    const coordination::log_event& event, std::chrono::system_clock::time_point now);

/// Writes one event as one line of key=value pairs to standard error.
/// \details Values with spaces, quotes, "=" or control characters are quoted and escaped, so that an event is always
/// one line. Safe from any thread.
void writeLog(const coordination::log_event& event);

/// Leaves out events that matter less than this.
void setLogLevel(coordination::log_level lowest) noexcept;

} // namespace acaciaslip::transport
