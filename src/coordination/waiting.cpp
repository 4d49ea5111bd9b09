#include "coordination/waiting.hpp"

#include "coordination/deadlines.hpp"
#include "coordination/hedging.hpp"
#include "coordination/node.hpp"
#include "coordination/request_end.hpp"
#include "coordination/sending.hpp"
#include "coordination/state_refresh.hpp"
#include "coordination/token_bucket.hpp"

#include <algorithm>
#include <iterator>

namespace acaciaslip::coordination {

namespace {

constexpr int departureWeightDivisor = 8; ///< inverse weight of the newest interval in the moving average
constexpr std::uint32_t minDepartureSamples = 8; ///< samples needed before an estimate is used
constexpr state::duration estimateLifetime = std::chrono::seconds { 5 }; ///< after the last departure
constexpr state::duration minRetryAfter = std::chrono::milliseconds { 500 };
constexpr state::duration maxRetryAfter = std::chrono::seconds { 10 };

void recordDeparture(state::departure_estimate& departures, state::time_point now)
{
    const auto interval = now - departures.since;
    if (departures.samples == 0)
        departures.interval = interval;
    else
        departures.interval += (interval - departures.interval) / departureWeightDivisor;
    ++departures.samples;
    departures.since = now;
}

void enqueue(node& self, state::request& request, state::time_point now)
{
    const auto& settings = self.fleet.services[request.service].settings;
    auto& activity = self.fleet.services[request.service].activity;
    if (activity.waiting.empty()) {
        if (now - activity.departures.since > estimateLifetime)
            activity.departures.samples = 0;
        activity.departures.since = now;
    }
    request.waitingUntil = std::min(request.deadline, now + settings.wait);
    activity.waiting.insert({ request.deadline, request.id });
    scheduleRequest(self.requests, request, now);
}

bool wouldWaitTooLong(const node& self, const state::request& request, state::time_point now)
{
    const auto& service = self.fleet.services[request.service];
    const auto wait = expectedWait(service.activity, request.deadline, now);
    return wait && now + *wait > std::min(request.deadline, now + service.settings.wait);
}

/// Sends a waiting request if its backoff is over, the retry budget allows it and a server has free capacity.
bool trySendWaiting(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& budget = self.fleet.services[request.service].activity.retries;
    if (request.retryAt > now || !hasTokens(budget, request.nextAttemptCost)
        || !trySend(self, request, attempt_role::primary, now, random, effects))
        return false;
    budget.tokens -= request.nextAttemptCost;
    request.nextAttemptCost = 0;
    if (request.attempts > 1)
        ++self.counters.retries;
    return true;
}

} // namespace

void enqueueOrRefuse(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    const auto& service = self.fleet.services[request.service];
    const auto refuse = [&](state::refusal_reason reason) {
        endWithRefusal(self, request, request.mayHaveRun ? state::refusal_reason::broken_answer : reason,
            estimateRetryAfter(self, request.service, random), effects);
    };
    if (!hasEligibleServer(self, request.service) && !isStateStale(self, now))
        return refuse(state::refusal_reason::no_server);
    if (service.activity.waiting.size() >= service.settings.maxWaiting || wouldWaitTooLong(self, request, now))
        return refuse(state::refusal_reason::overloaded);
    enqueue(self, request, now);
}

void dispatchWaiting(
    node& self, state::service_index service, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& waiting = self.fleet.services[service].activity.waiting;
    for (auto next = waiting.begin(); next != waiting.end();) {
        auto& request = self.requests.requests.find(next->id)->second;
        if (trySendWaiting(self, request, now, random, effects)) {
            recordDeparture(self.fleet.services[service].activity.departures, now);
            next = waiting.erase(next);
            request.waitingUntil.reset();
            planHedge(self, request, now);
            scheduleRequest(self.requests, request, now);
        } else if (request.excludedServers.empty() && request.retryAt <= now) {
            return; // no server has free capacity for any request
        } else {
            ++next;
        }
    }
}

void removeFromQueue(node& self, state::request& request)
{
    if (!request.waitingUntil)
        return;
    request.waitingUntil.reset();
    self.fleet.services[request.service].activity.waiting.erase({ request.deadline, request.id });
}

std::optional<state::duration> expectedWait(
    const state::service_activity& activity, state::time_point deadline, state::time_point now)
{
    const auto& departures = activity.departures;
    if (activity.waiting.empty() || departures.samples < minDepartureSamples
        || now - departures.since > estimateLifetime)
        return std::nullopt;
    const auto ahead = std::distance(activity.waiting.begin(), activity.waiting.lower_bound({ deadline, {} }));
    return departures.interval * (ahead + 1);
}

state::duration estimateRetryAfter(const node& self, state::service_index service, random_generator& random)
{
    const auto& activity = self.fleet.services[service].activity;
    const auto queue = static_cast<std::int64_t>(activity.waiting.size() + 1);
    const auto wait = std::clamp(activity.departures.interval * queue, minRetryAfter, maxRetryAfter);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return wait + std::chrono::milliseconds { random(static_cast<std::uint32_t>(milliseconds)) };
}

} // namespace acaciaslip::coordination
