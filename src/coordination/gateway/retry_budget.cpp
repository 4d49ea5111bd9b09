#include "coordination/gateway/retry_budget.hpp"

#include "coordination/gateway/settings.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// Share of the fleet's budget in use; the margin allows for hosts whose windows are not aligned.
constexpr double usableShare = 0.85;
/// Share of the ratio that a host uses while it starts. With what its predecessor may have spent just before its end
/// (`usableShare` of a window's requests, and of those in the partly filled bucket), the sum stays within the ratio.
constexpr double startShare = 0.1;
/// Shortest time for which a host counts as starting: within it, heartbeats tell a host of a large fleet of the others.
constexpr state::duration countingTime = std::chrono::seconds { 10 };

/// Clears the buckets that have left the window.
void advanceWindow(retry_budget& budget, const fleet_limits& bounds, state::time_point now) noexcept
{
    // One bucket is always partly filled; the others span the whole window.
    const state::duration width = bounds.retryWindow / static_cast<int>(retry_budget::bucketCount - 1);
    const std::int64_t current = now.time_since_epoch() / width;
    const auto passed = std::clamp<std::int64_t>(current - budget.newest, 0, retry_budget::bucketCount);
    for (std::int64_t step = 1; step <= passed; ++step)
        budget.buckets[static_cast<std::size_t>(budget.newest + step) % retry_budget::bucketCount] = {};
    if (passed == retry_budget::bucketCount)
        budget.buckets = {};
    budget.newest = std::max(budget.newest, current);
}

retry_budget::bucket& newestBucket(retry_budget& budget) noexcept
{
    return budget.buckets[static_cast<std::size_t>(budget.newest) % retry_budget::bucketCount];
}

} // namespace

void recordRequest(retry_budget& budget, const fleet_limits& bounds, state::time_point now) noexcept
{
    advanceWindow(budget, bounds, now);
    ++newestBucket(budget).requests;
}

void recordRetry(retry_budget& budget, const fleet_limits& bounds, state::time_point now) noexcept
{
    advanceWindow(budget, bounds, now);
    ++newestBucket(budget).retries;
}

budget_phase findBudgetPhase(const fleet_limits& bounds, state::time_point startedAt, state::time_point now) noexcept
{
    const bool isFull = now - startedAt >= std::max(bounds.retryWindow, countingTime);
    return isFull ? budget_phase::full : budget_phase::starting;
}

bool mayRetry(retry_budget& budget, const fleet_limits& bounds, std::uint32_t hosts, budget_phase phase,
    state::time_point now) noexcept
{
    advanceWindow(budget, bounds, now);
    double requests = 0;
    double repeats = 0;
    for (const auto& bucket : budget.buckets) {
        requests += bucket.requests;
        repeats += bucket.retries;
    }
    if (phase == budget_phase::starting)
        return repeats + 1 <= startShare * bounds.retryRatio * requests;
    const double share = bounds.minRetries / std::max<std::uint32_t>(hosts, 1);
    return repeats + 1 <= usableShare * (bounds.retryRatio * requests + share);
}

} // namespace acaciaslip::coordination::gateway
