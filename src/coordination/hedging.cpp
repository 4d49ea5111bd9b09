#include "coordination/hedging.hpp"

#include "coordination/deadlines.hpp"
#include "coordination/node.hpp"
#include "coordination/retry.hpp"
#include "coordination/sending.hpp"
#include "coordination/token_budget.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination {

namespace {

constexpr double hedgeQuantile = 0.95;
constexpr double hedgeBurst = 5; ///< tokens
constexpr double floorPerSecond = 0.1; ///< tokens, so that a quiet service can hedge
constexpr state::duration shortestHedgeDelay = std::chrono::milliseconds { 1 };
constexpr state::duration firstBucketEnd = std::chrono::microseconds { 50 };
constexpr double bucketsPerDoubling = 4;
constexpr std::uint32_t enoughAnswers = 20; ///< before a quantile is trusted
constexpr std::uint32_t answersToFade = 1024; ///< all counts are halved when there are this many

std::size_t findBucket(state::duration latency) noexcept
{
    if (latency <= firstBucketEnd)
        return 0;
    const auto ratio = static_cast<double>(latency.count()) / static_cast<double>(firstBucketEnd.count());
    const auto bucket = static_cast<std::size_t>(std::ceil(bucketsPerDoubling * std::log2(ratio)));
    return std::min(bucket, state::latency_histogram::bucketCount - 1);
}

state::duration findBucketEnd(std::size_t bucket) noexcept
{
    const auto ratio = std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
    return state::duration { static_cast<state::duration::rep>(static_cast<double>(firstBucketEnd.count()) * ratio) };
}

void fade(state::latency_histogram& latencies) noexcept
{
    latencies.total = 0;
    for (auto& count : latencies.counts) {
        count /= 2;
        latencies.total += count;
    }
}

} // namespace

void noteLatency(state::latency_histogram& latencies, state::duration latency) noexcept
{
    ++latencies.counts[findBucket(latency)];
    if (++latencies.total >= answersToFade)
        fade(latencies);
}

std::optional<state::duration> findQuantile(const state::latency_histogram& latencies, double share) noexcept
{
    if (latencies.total < enoughAnswers)
        return std::nullopt;
    const double wanted = share * latencies.total;
    double seen = 0;
    for (std::size_t bucket = 0; bucket < latencies.counts.size(); ++bucket) {
        seen += latencies.counts[bucket];
        if (seen >= wanted)
            return findBucketEnd(bucket);
    }
    return findBucketEnd(latencies.counts.size() - 1);
}

void fillHedgeBudget(state::service_activity& activity, double share, state::time_point now) noexcept
{
    fillBucket(activity.hedges, { share, floorPerSecond, hedgeBurst }, now);
}

void planHedge(node& self, state::request& request, state::time_point now)
{
    const auto& service = self.fleet.services[request.service];
    if (!request.idempotent || !service.settings.hedge)
        return;
    if (const auto delay = findQuantile(service.activity.latencies, hedgeQuantile))
        request.hedgeAt = now + std::max(*delay, shortestHedgeDelay);
}

void sendHedge(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    request.hedgeAt.reset();
    auto& activity = self.fleet.services[request.service].activity;
    if (request.running.size() != 1 || request.attempts >= maxAttempts || !activity.waiting.empty()
        || !canPay(activity.hedges, 1) || !trySend(self, request, attempt_role::hedge, now, random, effects))
        return;
    activity.hedges.tokens -= 1;
    ++self.counters.hedges;
}

} // namespace acaciaslip::coordination
