#pragma once

#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace acaciaslip::state {

/// Upper bounds of the buckets of a latency histogram; the last bucket has none.
inline constexpr std::array<duration, 15> latencyBounds { std::chrono::microseconds { 250 },
    std::chrono::microseconds { 500 }, std::chrono::milliseconds { 1 }, std::chrono::milliseconds { 2 },
    std::chrono::milliseconds { 5 }, std::chrono::milliseconds { 10 }, std::chrono::milliseconds { 20 },
    std::chrono::milliseconds { 50 }, std::chrono::milliseconds { 100 }, std::chrono::milliseconds { 200 },
    std::chrono::milliseconds { 500 }, std::chrono::seconds { 1 }, std::chrono::seconds { 2 },
    std::chrono::seconds { 5 }, std::chrono::seconds { 10 } };

/// Counts of latencies by bucket.
struct latency_histogram {
    std::array<std::uint64_t, latencyBounds.size() + 1> counts {}; ///< each bucket by itself, not summed up
    duration sum {};
};

/// Counts one latency.
constexpr void observe(latency_histogram& histogram, duration latency) noexcept
{
    std::size_t bucket = 0;
    while (bucket < latencyBounds.size() && latency > latencyBounds[bucket])
        ++bucket;
    ++histogram.counts[bucket];
    histogram.sum += latency;
}

} // namespace acaciaslip::state
