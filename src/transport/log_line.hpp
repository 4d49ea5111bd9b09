#pragma once

#include "coordination/effects.hpp"

#include <chrono>
#include <string>

namespace acaciaslip::transport {

/// Formats one event as one line of key=value pairs, without the line's end.
/// \details Values with spaces, quotes, "=" or control characters are quoted and escaped, so that an event is always
/// one line.
[[nodiscard]] std::string formatLogLine(
    const coordination::log_event& event, std::chrono::system_clock::time_point now);

} // namespace acaciaslip::transport
