#pragma once

#include "state/time.hpp"

namespace acaciaslip::transport {

/// Reads the process's monotonic clock.
[[nodiscard]] inline state::time_point monotonicNow() noexcept
{
    return state::time_point { std::chrono::duration_cast<state::duration>(
        std::chrono::steady_clock::now().time_since_epoch()) };
}

} // namespace acaciaslip::transport
