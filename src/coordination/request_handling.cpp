#include "coordination/request_handling.hpp"

#include "coordination/deadlines.hpp"
#include "coordination/hedging.hpp"
#include "coordination/idempotency_keys.hpp"
#include "coordination/node.hpp"
#include "coordination/request_end.hpp"
#include "coordination/retry.hpp"
#include "coordination/routing.hpp"
#include "coordination/sending.hpp"
#include "coordination/server_tracking.hpp"
#include "coordination/waiting.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration retryAfterLeaving = std::chrono::milliseconds { 100 }; ///< another entry host can serve it
constexpr state::duration retryAfterDuplicate = std::chrono::seconds { 1 };

bool isIdempotent(const state::service_settings& settings, const request_arrived& arrived)
{
    switch (settings.idempotent) {
    case state::idempotency::always:
        return true;
    case state::idempotency::never:
        return false;
    case state::idempotency::by_method:
        return arrived.idempotentMethod;
    }
    return false;
}

state::request makeRequest(const request_arrived& arrived, state::service_index service,
    const state::service_settings& settings, state::time_point now)
{
    state::request request;
    request.id = arrived.id;
    request.service = service;
    request.idempotent = isIdempotent(settings, arrived);
    request.arrivedAt = now;
    request.deadline = now + std::min(arrived.timeout.value_or(settings.timeout), settings.timeout);
    request.body = arrived.body;
    if (!arrived.idempotencyKey.empty())
        request.idempotencyKey = scopedKey(service, arrived.idempotencyKey);
    return request;
}

state::request& storeRequest(node& self, state::request&& request, state::time_point now)
{
    self.requests.lastDeadline = std::max(self.requests.lastDeadline, request.deadline);
    auto& stored = self.requests.requests[request.id] = std::move(request);
    scheduleRequest(self.requests, stored, now);
    return stored;
}

/// Sends a new request, or queues it when other requests of the service are already waiting.
void startRequest(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& activity = self.fleet.services[request.service].activity;
    fillRetryBudget(activity, self.fleet.services[request.service].settings.retryShare, now);
    fillHedgeBudget(activity, self.fleet.services[request.service].settings.hedgeShare, now);
    if (activity.waiting.empty() && trySend(self, request, attempt_role::primary, now, random, effects)) {
        planHedge(self, request, now);
        return scheduleRequest(self.requests, request, now);
    }
    const auto service = request.service;
    enqueueOrRefuse(self, request, now, random, effects);
    dispatchWaiting(self, service, now, random, effects);
}

void recordServiceLatency(
    node& self, const state::attempt& attempt, state::attempt_outcome outcome, state::time_point now)
{
    // A cancelled attempt took at least this long. Omitting it would remove the slow responses that hedges replaced
    // from the histogram, and with them the reason to hedge.
    if (outcome == state::attempt_outcome::answered || outcome == state::attempt_outcome::cancelled
        || outcome == state::attempt_outcome::timed_out) {
        const auto service = self.fleet.servers[attempt.server].service;
        recordLatency(self.fleet.services[service].activity.latencies, now - attempt.startedAt);
    }
}

void applyAttemptOutcome(node& self, state::request& request, const state::attempt& attempt,
    const attempt_finished& finished, state::time_point now, random_generator& random, effect_list& effects)
{
    std::erase(request.attemptsInFlight, attempt.id);
    if (finished.outcome == state::attempt_outcome::answered)
        return endWithAnswer(self, request, self.fleet.servers[attempt.server].id, finished.answer, effects);
    request.mayHaveRun |= state::verdictOf(finished.outcome) == state::verdict::may_have_run;
    if (request.attemptsInFlight.empty())
        retryOrRefuse(self, request, finished.outcome, now, random, effects);
}

void processDueRequest(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    if (now >= request.deadline)
        return endWithRefusal(self, request, state::refusal_reason::deadline_exceeded,
            estimateRetryAfter(self, request.service, random), effects);
    if (request.waitingUntil && now >= *request.waitingUntil) {
        const auto reason
            = request.mayHaveRun ? state::refusal_reason::broken_answer : state::refusal_reason::overloaded;
        return endWithRefusal(self, request, reason, estimateRetryAfter(self, request.service, random), effects);
    }
    if (request.hedgeAt && now >= *request.hedgeAt)
        sendHedge(self, request, now, random, effects);
    scheduleRequest(self.requests, request, now);
    if (request.waitingUntil)
        dispatchWaiting(self, request.service, now, random, effects);
}

} // namespace

void admitRequest(
    node& self, const request_arrived& arrived, state::time_point now, random_generator& random, effect_list& effects)
{
    if (self.phase == node_phase::draining || self.phase == node_phase::stopped)
        return refuseUnadmitted(self, arrived.id, state::refusal_reason::leaving, retryAfterLeaving, effects);
    const auto service = findRoute(self.fleet, arrived.host, arrived.path);
    if (!service) {
        const bool starting = self.phase == node_phase::starting;
        const auto reason = starting ? state::refusal_reason::no_server : state::refusal_reason::no_route;
        return refuseUnadmitted(self, arrived.id, reason, starting ? retryAfterLeaving : state::duration {}, effects);
    }
    auto request = makeRequest(arrived, *service, self.fleet.services[*service].settings, now);
    if (now >= request.deadline)
        return refuseUnadmitted(self, arrived.id, state::refusal_reason::deadline_exceeded, {}, effects);
    if (!request.idempotencyKey.empty() && !claimKey(self.requests, request.idempotencyKey, request.id))
        return refuseUnadmitted(self, arrived.id, state::refusal_reason::duplicate_key, retryAfterDuplicate, effects);
    startRequest(self, storeRequest(self, std::move(request), now), now, random, effects);
}

void handleAttemptFinished(
    node& self, const attempt_finished& finished, state::time_point now, random_generator& random, effect_list& effects)
{
    const auto known = self.requests.attempts.find(finished.id);
    if (known == self.requests.attempts.end())
        return;
    const auto attempt = std::move(known->second);
    self.requests.attempts.erase(known);
    releaseKey(self.requests, attempt.idempotencyKey);
    recordAttemptFinished(self, attempt.server, finished, attempt.startedAt, now, effects);
    recordServiceLatency(self, attempt, finished.outcome, now);
    const auto found = self.requests.requests.find(attempt.request);
    if (found != self.requests.requests.end())
        applyAttemptOutcome(self, found->second, attempt, finished, now, random, effects);
    dispatchWaiting(self, self.fleet.servers[attempt.server].service, now, random, effects);
}

void handleCallerDisconnected(
    node& self, const caller_disconnected& disconnected, state::time_point /*now*/, effect_list& effects)
{
    const auto found = self.requests.requests.find(disconnected.id);
    if (found != self.requests.requests.end())
        endAbandonedRequest(self, found->second, effects);
}

void processDueRequests(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& due = self.requests.dueTimes;
    while (!due.empty() && due.begin()->at <= now)
        processDueRequest(self, self.requests.requests.find(due.begin()->id)->second, now, random, effects);
}

void dispatchAllWaiting(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    for (state::service_index service = 0; service < self.fleet.services.size(); ++service) {
        if (!self.fleet.services[service].activity.waiting.empty())
            dispatchWaiting(self, service, now, random, effects);
    }
}

} // namespace acaciaslip::coordination
