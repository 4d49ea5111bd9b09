#pragma once

#include "state/time.hpp"

namespace acaciaslip::transport::loop {

/// Returns the time of the clock that all deadlines use. Unlike CLOCK_MONOTONIC it also advances while the machine is
/// suspended, so that a request is not treated as having time left after a suspension.
[[nodiscard]] state::time_point bootNow() noexcept;

/// Returns the time since the Unix epoch, for incarnations and logs. Not to be used for measuring durations or for
/// timeouts, since the system time may be set.
[[nodiscard]] std::chrono::microseconds unixNow() noexcept;

} // namespace acaciaslip::transport::loop
