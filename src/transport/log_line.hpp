#pragma once

#include "coordination/effects.hpp"

#include <chrono>
#include <string>

namespace acaciaslip::transport {

/// Formats an event as a line of key=value pairs, without the trailing newline.
/// \details Empty values and values with spaces, quotes, backslashes, "=", control characters or non-ASCII bytes are
/// quoted and escaped, so that an event always takes exactly one line.
[[nodiscard]] std::string formatLogLine(
    const coordination::log_event& event, std::chrono::system_clock::time_point now);

} // namespace acaciaslip::transport
