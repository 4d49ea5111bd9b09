#pragma once

#include <chrono>
#include <cstdint>

namespace acaciaslip::state {

/// A span of time. Nanoseconds, signed.
using duration = std::chrono::nanoseconds;

/// Tag for the monotonic time line that every decision is taken on.
///
/// It has no `now()`: layers below transport are always told the time.
struct monotonic_clock {
    using duration = state::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the clock requirements name it
};

/// An instant on the monotonic time line of one process.
using time_point = monotonic_clock::time_point;

/// Converts a span to milliseconds, with its fraction.
[[nodiscard]] constexpr double toMilliseconds(duration span) noexcept
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace acaciaslip::state
