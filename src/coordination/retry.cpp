#include "coordination/retry.hpp"

#include "coordination/node.hpp"
#include "coordination/picking.hpp"
#include "coordination/request_end.hpp"
#include "coordination/sending.hpp"
#include "coordination/token_budget.hpp"
#include "coordination/waiting.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr double wholeRetry = 1;
constexpr double unrunRetry = 0.25; ///< after proof that the request did not run
constexpr double floorPerSecond = 1; ///< tokens, so that a quiet service can retry
constexpr double retryBurst = 10; ///< tokens
constexpr state::duration firstBackoff = std::chrono::milliseconds { 5 };

state::refusal_reason reasonFor(const state::request& request, state::attempt_outcome outcome, state::time_point now)
{
    if (now >= request.deadline || outcome == state::attempt_outcome::timed_out)
        return state::refusal_reason::deadline_exceeded;
    if (request.mayHaveRun)
        return state::refusal_reason::broken_answer;
    return outcome == state::attempt_outcome::connect_failed ? state::refusal_reason::no_server
                                                             : state::refusal_reason::overloaded;
}

/// Grows with each attempt, so that a request does not hammer the one server that there is.
state::duration findBackoff(const state::request& request, random_generator& random)
{
    const auto backoff = firstBackoff * (1U << request.attempts);
    return backoff / 2 + state::duration { random(static_cast<std::uint32_t>(backoff.count() / 2)) };
}

/// Servers that failed may be tried again after the wait; the last one only when there is no other.
void forgiveServers(const node& self, state::request& request)
{
    const auto last = request.tried.back();
    request.tried.clear();
    const auto& members = self.fleet.services[request.service].members;
    const bool hasOther = std::any_of(members.begin(), members.end(),
        [&](state::server_index index) { return index != last && isCandidate(self.fleet.servers[index]); });
    if (hasOther)
        request.tried.push_back(last);
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
        return unrunRetry;
    default:
        return wholeRetry;
    }
}

void fillRetryBudget(state::service_activity& activity, double share, state::time_point now) noexcept
{
    fillBucket(activity.retries, { share, floorPerSecond, retryBurst }, now);
}

bool mayTryAgain(const state::request& request, state::time_point now) noexcept
{
    return now < request.deadline && request.attempts < maxAttempts && (request.idempotent || !request.mayHaveRun);
}

void retryOrRefuse(node& self, state::request& request, state::attempt_outcome outcome, state::time_point now,
    random_generator& random, effect_list& effects)
{
    auto& budget = self.fleet.services[request.service].activity.retries;
    const auto cost = retryCost(outcome);
    const bool paid = canPay(budget, cost);
    if (!mayTryAgain(request, now) || (!paid && request.mayHaveRun)) {
        const auto hint = findRetryAfter(self, request.service, random);
        return endWithRefusal(self, request, reasonFor(request, outcome, now), hint, effects);
    }
    if (paid && trySend(self, request, attempt_role::only, now, random, effects)) {
        budget.tokens -= cost;
        ++self.counters.retries;
        return;
    }
    request.owedTokens = cost;
    request.notBefore = now + findBackoff(request, random);
    forgiveServers(self, request);
    waitForServer(self, request, now, random, effects);
}

} // namespace acaciaslip::coordination
