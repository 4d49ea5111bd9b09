#include "coordination/retry.hpp"

#include "coordination/node.hpp"
#include "coordination/picking.hpp"
#include "coordination/request_end.hpp"
#include "coordination/sending.hpp"
#include "coordination/token_bucket.hpp"
#include "coordination/waiting.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr double fullRetryCost = 1; ///< tokens; when the request may have run
constexpr double notRunRetryCost = 0.25; ///< tokens; when the request is proven not to have run
constexpr double minTokensPerSecond = 1; ///< tokens per second, so that a service with little traffic can retry
constexpr double retryBurst = 10; ///< capacity of the retry budget in tokens
constexpr state::duration baseBackoff = std::chrono::milliseconds { 5 };

state::refusal_reason refusalReasonFor(
    const state::request& request, state::attempt_outcome outcome, state::time_point now)
{
    if (now >= request.deadline || outcome == state::attempt_outcome::timed_out)
        return state::refusal_reason::deadline_exceeded;
    if (request.mayHaveRun)
        return state::refusal_reason::broken_answer;
    return outcome == state::attempt_outcome::connect_failed ? state::refusal_reason::no_server
                                                             : state::refusal_reason::overloaded;
}

/// Exponential backoff with jitter, so that retries do not overload a service with a single server.
state::duration drawBackoff(const state::request& request, random_generator& random)
{
    const auto backoff = baseBackoff * (1U << request.attempts);
    return backoff / 2 + state::duration { random(static_cast<std::uint32_t>(backoff.count() / 2)) };
}

/// Allows the servers that failed to be tried again after the backoff; the last one only when no other is eligible.
void resetExcludedServers(const node& self, state::request& request)
{
    const auto last = request.excludedServers.back();
    request.excludedServers.clear();
    const auto& members = self.fleet.services[request.service].members;
    const bool hasOther = std::any_of(members.begin(), members.end(),
        [&](state::server_index index) { return index != last && isEligible(self.fleet.servers[index]); });
    if (hasOther)
        request.excludedServers.push_back(last);
}

} // namespace

double retryCost(state::attempt_outcome outcome) noexcept
{
    switch (outcome) {
    case state::attempt_outcome::no_connection:
    case state::attempt_outcome::expired:
        return 0;
    case state::attempt_outcome::shed:
    case state::attempt_outcome::connect_failed:
        return notRunRetryCost;
    default:
        return fullRetryCost;
    }
}

void fillRetryBudget(state::service_activity& activity, double share, state::time_point now) noexcept
{
    refillBucket(activity.retries, { share, minTokensPerSecond, retryBurst }, now);
}

bool mayRetry(const state::request& request, state::time_point now) noexcept
{
    return now < request.deadline && request.attempts < maxAttempts && (request.idempotent || !request.mayHaveRun);
}

void retryOrRefuse(node& self, state::request& request, state::attempt_outcome outcome, state::time_point now,
    random_generator& random, effect_list& effects)
{
    auto& budget = self.fleet.services[request.service].activity.retries;
    const auto cost = retryCost(outcome);
    const bool affordable = hasTokens(budget, cost);
    if (!mayRetry(request, now) || (!affordable && request.mayHaveRun)) {
        const auto retryAfter = estimateRetryAfter(self, request.service, random);
        return endWithRefusal(self, request, refusalReasonFor(request, outcome, now), retryAfter, effects);
    }
    if (affordable && trySend(self, request, attempt_role::primary, now, random, effects)) {
        budget.tokens -= cost;
        ++self.counters.retries;
        return;
    }
    request.nextAttemptCost = cost;
    request.retryAt = now + drawBackoff(request, random);
    resetExcludedServers(self, request);
    enqueueOrRefuse(self, request, now, random, effects);
}

} // namespace acaciaslip::coordination
