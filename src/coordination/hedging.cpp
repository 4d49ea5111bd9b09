#include "coordination/hedging.hpp"

#include "coordination/deadlines.hpp"
#include "coordination/node.hpp"
#include "coordination/retry.hpp"
#include "coordination/sending.hpp"
#include "coordination/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination {

namespace {

constexpr double hedgeQuantile = 0.95;
constexpr double hedgeBurst = 5; ///< capacity of the hedge budget in tokens
constexpr double minTokensPerSecond = 0.1; ///< tokens per second, so that a service with little traffic can hedge
constexpr state::duration minHedgeDelay = std::chrono::milliseconds { 1 };
constexpr state::duration firstBucketUpperBound = std::chrono::microseconds { 50 };
constexpr double bucketsPerDoubling = 4;
constexpr std::uint32_t minSamplesForQuantile = 20; ///< samples needed before a quantile is used
constexpr std::uint32_t decayThreshold = 1024; ///< total number of samples at which all counts are halved

std::size_t findBucket(state::duration latency) noexcept
{
    if (latency <= firstBucketUpperBound)
        return 0;
    const auto ratio = static_cast<double>(latency.count()) / static_cast<double>(firstBucketUpperBound.count());
    const auto bucket = static_cast<std::size_t>(std::ceil(bucketsPerDoubling * std::log2(ratio)));
    return std::min(bucket, state::latency_histogram::bucketCount - 1);
}

state::duration bucketUpperBound(std::size_t bucket) noexcept
{
    const auto ratio = std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
    return state::duration { static_cast<state::duration::rep>(
        static_cast<double>(firstBucketUpperBound.count()) * ratio) };
}

void decay(state::latency_histogram& latencies) noexcept
{
    latencies.total = 0;
    for (auto& count : latencies.counts) {
        count /= 2;
        latencies.total += count;
    }
}

} // namespace

void recordLatency(state::latency_histogram& latencies, state::duration latency) noexcept
{
    ++latencies.counts[findBucket(latency)];
    if (++latencies.total >= decayThreshold)
        decay(latencies);
}

std::optional<state::duration> findQuantile(const state::latency_histogram& latencies, double share) noexcept
{
    if (latencies.total < minSamplesForQuantile)
        return std::nullopt;
    const double target = share * latencies.total;
    double cumulative = 0;
    for (std::size_t bucket = 0; bucket < latencies.counts.size(); ++bucket) {
        cumulative += latencies.counts[bucket];
        if (cumulative >= target)
            return bucketUpperBound(bucket);
    }
    return bucketUpperBound(latencies.counts.size() - 1);
}

void fillHedgeBudget(state::service_activity& activity, double share, state::time_point now) noexcept
{
    refillBucket(activity.hedges, { share, minTokensPerSecond, hedgeBurst }, now);
}

void planHedge(node& self, state::request& request, state::time_point now)
{
    const auto& service = self.fleet.services[request.service];
    if (!request.idempotent || !service.settings.hedge)
        return;
    if (const auto delay = findQuantile(service.activity.latencies, hedgeQuantile))
        request.hedgeAt = now + std::max(*delay, minHedgeDelay);
}

void sendHedge(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    request.hedgeAt.reset();
    auto& activity = self.fleet.services[request.service].activity;
    if (request.attemptsInFlight.size() != 1 || request.attempts >= maxAttempts || !activity.waiting.empty()
        || !hasTokens(activity.hedges, 1) || !trySend(self, request, attempt_role::hedge, now, random, effects))
        return;
    activity.hedges.tokens -= 1;
    ++self.counters.hedges;
}

} // namespace acaciaslip::coordination
