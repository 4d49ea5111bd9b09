#pragma once

#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace acaciaslip::state {

/// Inclusive upper bounds of the histogram buckets. One more bucket, without an upper bound, follows the last of them.
inline constexpr std::array<duration, 15> durationBounds { std::chrono::microseconds { 250 },
    std::chrono::microseconds { 500 }, std::chrono::milliseconds { 1 }, std::chrono::milliseconds { 2 },
    std::chrono::milliseconds { 5 }, std::chrono::milliseconds { 10 }, std::chrono::milliseconds { 20 },
    std::chrono::milliseconds { 50 }, std::chrono::milliseconds { 100 }, std::chrono::milliseconds { 200 },
    std::chrono::milliseconds { 500 }, std::chrono::seconds { 1 }, std::chrono::seconds { 2 },
    std::chrono::seconds { 5 }, std::chrono::seconds { 10 } };

/// Histogram of durations.
struct duration_histogram {
    std::array<std::uint64_t, durationBounds.size() + 1> counts {}; ///< observations per bucket, not cumulative
    duration sum {}; ///< of all observations
};

/// Adds one observation to a histogram.
constexpr void observe(duration_histogram& histogram, duration observed) noexcept
{
    std::size_t bucket = 0;
    while (bucket < durationBounds.size() && observed > durationBounds[bucket])
        ++bucket;
    ++histogram.counts[bucket];
    histogram.sum += observed;
}

} // namespace acaciaslip::state
