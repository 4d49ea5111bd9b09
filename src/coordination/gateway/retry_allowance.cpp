#include "coordination/gateway/retry_allowance.hpp"

#include "coordination/gateway/settings.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// Share of the fleet's budget in use; the margin allows for hosts whose windows are not aligned.
constexpr double usedShare = 0.85;

/// Clears the buckets that have left the window.
void advance(retry_allowance& allowance, const fleet_bounds& bounds, state::time_point now) noexcept
{
    // One bucket is always partly filled; the others span the whole window.
    const state::duration width = bounds.retryWindow / static_cast<int>(retry_allowance::bucketCount - 1);
    const std::int64_t current = now.time_since_epoch() / width;
    const auto passed = std::clamp<std::int64_t>(current - allowance.newest, 0, retry_allowance::bucketCount);
    for (std::int64_t step = 1; step <= passed; ++step)
        allowance.buckets[static_cast<std::size_t>(allowance.newest + step) % retry_allowance::bucketCount] = {};
    if (passed == retry_allowance::bucketCount)
        allowance.buckets = {};
    allowance.newest = std::max(allowance.newest, current);
}

retry_allowance::bucket& newestBucket(retry_allowance& allowance) noexcept
{
    return allowance.buckets[static_cast<std::size_t>(allowance.newest) % retry_allowance::bucketCount];
}

} // namespace

void noteRequest(retry_allowance& allowance, const fleet_bounds& bounds, state::time_point now) noexcept
{
    advance(allowance, bounds, now);
    ++newestBucket(allowance).requests;
}

void noteRepeat(retry_allowance& allowance, const fleet_bounds& bounds, state::time_point now) noexcept
{
    advance(allowance, bounds, now);
    ++newestBucket(allowance).repeats;
}

bool mayRepeat(
    retry_allowance& allowance, const fleet_bounds& bounds, std::uint32_t hosts, state::time_point now) noexcept
{
    advance(allowance, bounds, now);
    double requests = 0;
    double repeats = 0;
    for (const auto& bucket : allowance.buckets) {
        requests += bucket.requests;
        repeats += bucket.repeats;
    }
    const double share = bounds.retrySlack / std::max<std::uint32_t>(hosts, 1);
    return repeats + 1 <= usedShare * (bounds.retryRatio * requests + share);
}

} // namespace acaciaslip::coordination::gateway
