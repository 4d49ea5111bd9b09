#pragma once

#include "coordination/effects.hpp"

namespace acaciaslip::transport {

/// Writes one event as one line of key=value pairs to standard error.
/// \details Values with spaces, quotes, "=" or control characters are quoted and escaped, so that an event is always
/// one line. Safe from any thread.
void writeLog(const coordination::log_event& event);

/// Leaves out events that matter less than this.
void setLogLevel(coordination::log_level lowest) noexcept;

} // namespace acaciaslip::transport
