#include "coordination/gateway/request_flow.hpp"

#include "coordination/gateway/crash_detection.hpp"
#include "coordination/gateway/due_requests.hpp"
#include "coordination/gateway/key_check.hpp"
#include "coordination/gateway/leaving_servers.hpp"
#include "coordination/gateway/lethal_requests.hpp"
#include "coordination/gateway/probing.hpp"
#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/request_end.hpp"
#include "coordination/gateway/request_log.hpp"
#include "coordination/gateway/route_lookup.hpp"
#include "coordination/gateway/sending.hpp"
#include "coordination/gateway/server_back_off.hpp"
#include "coordination/gateway/server_health.hpp"
#include "coordination/gateway/server_limit.hpp"
#include "coordination/gateway/server_load.hpp"
#include "coordination/gateway/shutdown.hpp"
#include "coordination/gateway/team_admission.hpp"
#include "coordination/gateway/unproven_refusal.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::attempt_outcome;
using state::gateway::in_flight_attempt;
using state::gateway::pending_request;
using state::gateway::send_reason;

constexpr int firstServerError = 500;
/// Most requests take less than this multiple of their service's typical time.
constexpr int likelyServiceTimes = 2;

pending_request makeRequest(gateway_node& self, const request_arrived& arrived, const state::gateway::route& route,
    const state::gateway::team* team, state::time_point now)
{
    pending_request request;
    request.id = arrived.id;
    request.callerRequestId = arrived.callerRequestId;
    request.digests = arrived.digests;
    request.config = self.config;
    request.matched = &route;
    const double offset = self.share.hosts > 0 ? static_cast<double>(self.share.rank) / self.share.hosts : 0;
    request.service = chooseService(self.splits[route.name], route, offset);
    request.team = team != nullptr ? team->name : std::string {};
    request.priority = team != nullptr ? team->priority.value_or(route.priority) : route.priority;
    request.arrivedAt = now;
    request.objectiveAt = now + route.objective;
    request.callerDeadline = now + arrived.callerTimeout.value_or(route.timeout);
    request.deadline = std::min(now + route.timeout, request.callerDeadline);
    request.dueAt = request.deadline;
    return request;
}

void updateServiceTime(
    gateway_node& self, const pending_request& request, const in_flight_attempt& attempt, state::time_point now)
{
    auto* const server = findServer(self, attempt.server);
    if (server == nullptr)
        return;
    // Attempts are cancelled at the deadline. A response handled after it arrived earlier, while this process was
    // suspended, so the measured duration says nothing about the server.
    if (now > request.deadline)
        return;
    const auto took = now - attempt.startedAt;
    recordDuration(*server, took, attempt.expected, now);
    const auto typical = typicalServiceTime(self, request);
    // The part of the duration that is due to the server's slowdown and queue is not service time.
    const double serviceTimes = static_cast<double>(attempt.expected.count())
        / static_cast<double>(std::max<std::int64_t>(typical.count(), 1));
    const auto serviceTime = std::chrono::duration_cast<state::duration>(took / std::max(serviceTimes, 1.0));
    recordServiceTime(self, request, serviceTime);
    recordClassResponse(self, request, took, serviceTime);
}

void recordServerBehaviour(gateway_node& self, const pending_request& request, const in_flight_attempt& attempt,
    const attempt_finished& finished, state::time_point now)
{
    auto* const server = findServer(self, attempt.server);
    if (server == nullptr)
        return;
    switch (finished.outcome) {
    case attempt_outcome::answered:
        if (isUnprovenRefusal(finished))
            return recordAnswer(*server, false, now);
        recordAnswer(*server, finished.status < firstServerError, now);
        return updateServiceTime(self, request, attempt, now);
    case attempt_outcome::shed:
        return recordAnswer(*server, false, now);
    case attempt_outcome::connect_failed:
        return recordUnreachable(*server, now);
    case attempt_outcome::cut:
    case attempt_outcome::mismatched:
        return recordAnswer(*server, false, now);
    case attempt_outcome::timed_out:
        recordAnswer(*server, false, now);
        return recordDuration(*server, now - attempt.startedAt, attempt.expected, now);
    default:
        return;
    }
}

state::refusal_reason findReason(const pending_request& request)
{
    // Other responses were returned to the caller or kept as the fallback, so this one was an unproven refusal.
    if (request.lastOutcome == attempt_outcome::answered)
        return state::refusal_reason::unproven_refusal;
    if (request.mayHaveRun)
        return state::refusal_reason::broken_answer;
    return request.lastOutcome == attempt_outcome::connect_failed ? state::refusal_reason::no_server
                                                                  : state::refusal_reason::overloaded;
}

void retryOrRefuse(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    if (!request.attemptsInFlight.empty() || request.round)
        return schedule(self, request);
    if (!mayRetry(self, request, now)) {
        effects.emplace_back(describeRetryDenied(self, request));
        return endWithRefusal(self, request, findReason(request), now, random, effects);
    }
    startProbeRound(self, request, send_reason::retry, now, random, effects);
}

void keepFallback(pending_request& request, const in_flight_attempt& attempt, effect_list& effects)
{
    if (request.fallback)
        effects.emplace_back(discard_answer { attempt.id });
    else
        request.fallback = { attempt.id, attempt.server };
}

void processAnswer(gateway_node& self, pending_request& request, const in_flight_attempt& attempt,
    const attempt_finished& finished, state::time_point now, random_generator& random, effect_list& effects)
{
    if (isUnprovenRefusal(finished)) {
        request.mayHaveRun = true;
        effects.emplace_back(discard_answer { attempt.id });
        return retryOrRefuse(self, request, now, random, effects);
    }
    const bool idempotent = request.matched->kind == state::gateway::request_kind::idempotent;
    if (finished.status < firstServerError || !idempotent)
        return endWithAnswer(self, request, { attempt.id, attempt.server }, now, effects);
    keepFallback(request, attempt, effects);
    retryOrRefuse(self, request, now, random, effects);
}

void processOutcome(gateway_node& self, pending_request& request, const in_flight_attempt& attempt,
    const attempt_finished& finished, state::time_point now, random_generator& random, effect_list& effects)
{
    request.lastOutcome = finished.outcome;
    if (finished.outcome == attempt_outcome::answered)
        return processAnswer(self, request, attempt, finished, now, random, effects);
    if (state::verdictOf(finished.outcome) == state::verdict::may_have_run)
        request.mayHaveRun = true;
    else
        --request.possibleRuns;
    if (finished.outcome == attempt_outcome::shed
        && finished.backOff.statement == state::gateway::header_statement::named)
        ++request.backOffRefusals;
    if (finished.outcome == attempt_outcome::connect_failed)
        --request.sends; // the server received nothing
    retryOrRefuse(self, request, now, random, effects);
}

void processRequest(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    if (now >= request.deadline)
        return endWithRefusal(self, request, state::refusal_reason::deadline_exceeded, now, random, effects);
    if (request.round && now >= request.round->decideAt)
        return finishProbeRound(self, request, now, random, effects);
    if (request.probeAgainAt && now >= *request.probeAgainAt) {
        const auto reason = request.sends > 0 ? send_reason::retry : send_reason::first_send;
        return startProbeRound(self, request, reason, now, random, effects);
    }
    if (request.hedgeAt && now >= *request.hedgeAt) {
        request.hedgeAt.reset();
        if (!request.attemptsInFlight.empty() && mayRetry(self, request, now))
            return startProbeRound(self, request, send_reason::hedge, now, random, effects);
    }
    schedule(self, request);
}

} // namespace

void admitRequest(gateway_node& self, const request_arrived& arrived, state::time_point now, random_generator& random,
    effect_list& effects)
{
    if (self.phase >= node_phase::draining)
        return refuseUnadmitted(
            self, arrived.id, arrived.callerRequestId, state::refusal_reason::leaving, now, random, effects);
    if (!self.config)
        return refuseUnadmitted(
            self, arrived.id, arrived.callerRequestId, state::refusal_reason::no_server, now, random, effects);
    const auto* route = findRoute(*self.config, arrived.host, arrived.path);
    if (route == nullptr)
        return refuseUnadmitted(
            self, arrived.id, arrived.callerRequestId, state::refusal_reason::no_route, now, random, effects);
    const auto key = checkKey(self, *route, arrived, now);
    if (key.refused)
        return refuseUnadmitted(self, arrived.id, arrived.callerRequestId, *key.refused, now, random, effects,
            describeKeyRefusal(self, arrived, now));
    if (key.team != nullptr) {
        const auto decided = admitTeamRequest(self, *key.team, now, random);
        if (!decided.admitted)
            return refuseOverAllowance(self, arrived, key.team->name, decided, effects);
    }
    auto& request = self.requests[static_cast<std::uint64_t>(arrived.id)]
        = makeRequest(self, arrived, *route, key.team, now);
    recordRequest(self.services[request.service].retryBudget, self.settings.limits, now);
    recordClassArrival(self, request, now);
    schedule(self, request);
    const auto typical = typicalServiceTime(self, request);
    if (!endsBeforeKill(self, typical * likelyServiceTimes, now))
        return endWithRefusal(self, request, state::refusal_reason::leaving, now, random, effects);
    if (findLethal(self, request.digests, now)) {
        request.isTrial = recordLethalArrival(self, request.digests, now);
        if (!request.isTrial)
            return endWithRefusal(self, request, state::refusal_reason::ends_servers, now, random, effects);
    }
    startProbeRound(self, request, send_reason::first_send, now, random, effects);
}

void handleCallerDisconnected(
    gateway_node& self, const caller_disconnected& disconnected, state::time_point now, effect_list& effects)
{
    const auto found = self.requests.find(static_cast<std::uint64_t>(disconnected.id));
    if (found != self.requests.end())
        endAbandonedRequest(self, found->second, now, effects);
}

void handleAttemptFinished(gateway_node& self, const attempt_finished& finished, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto known = self.attempts.find(static_cast<std::uint64_t>(finished.id));
    if (known == self.attempts.end())
        return;
    const auto [requestId, server] = known->second;
    self.attempts.erase(known);
    ++self.counters.attemptsByOutcome[finished.outcome];
    recordSendFinished(self, server);
    if (finished.report)
        recordLoadReport(self, server, *finished.report, now);
    recordAnswerLimit(self, server, finished, now, effects);
    recordBackOff(self, server, finished.backOff, "answer", now, effects);
    if (finished.leaving)
        recordLeaving(self, server, "answer", now, effects);
    auto& request = self.requests.at(static_cast<std::uint64_t>(requestId));
    auto& inFlight = request.attemptsInFlight;
    const auto position
        = std::find_if(inFlight.begin(), inFlight.end(), [&](const auto& other) { return other.id == finished.id; });
    const auto attempt = *position;
    inFlight.erase(position);
    effects.emplace_back(describeAttempt(request, attempt, finished, now));
    recordServerBehaviour(self, request, attempt, finished, now);
    if (finished.outcome == attempt_outcome::answered && finished.status < firstServerError
        && !isUnprovenRefusal(finished))
        recordRequestAnswered(self, request.digests, now, effects);
    if (finished.outcome == attempt_outcome::cut)
        checkForCrash(self, request, attempt, now, effects);
    processOutcome(self, request, attempt, finished, now, random, effects);
}

void processDueRequests(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    while (!self.due.empty() && self.due.begin()->first <= now)
        processRequest(self, self.requests.at(self.due.begin()->second), now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
