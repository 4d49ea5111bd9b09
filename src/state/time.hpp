#pragma once

#include <chrono>
#include <cstdint>

namespace acaciaslip::state {

/// A time span in nanoseconds, signed.
using duration = std::chrono::nanoseconds;

/// Tag type of the monotonic clock that all decisions are based on.
///
/// It has no `now()`: layers below transport receive the current time as an argument.
struct monotonic_clock {
    using duration = state::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name set by the standard
};

/// A point in time of the monotonic clock of one process.
using time_point = monotonic_clock::time_point;

/// Converts a time span to milliseconds, including the fraction.
[[nodiscard]] constexpr double toMilliseconds(duration span) noexcept
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace acaciaslip::state
