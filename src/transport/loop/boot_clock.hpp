#pragma once

#include "state/time.hpp"

namespace acaciaslip::transport::loop {

/// Reads the clock that every deadline is kept on. It goes on while the machine is suspended, which the usual monotonic
/// clock does not, so that a request is not believed to have time left after a pause.
[[nodiscard]] state::time_point bootNow() noexcept;

/// Reads the time of day, for incarnations and logs; nothing is timed by it, since it may jump.
[[nodiscard]] std::chrono::microseconds unixNow() noexcept;

} // namespace acaciaslip::transport::loop
