#include "coordination/gateway/request_flow.hpp"

#include "coordination/gateway/asking.hpp"
#include "coordination/gateway/due_requests.hpp"
#include "coordination/gateway/request_end.hpp"
#include "coordination/gateway/request_log.hpp"
#include "coordination/gateway/retry_after.hpp"
#include "coordination/gateway/route_lookup.hpp"
#include "coordination/gateway/sending.hpp"
#include "coordination/gateway/server_health.hpp"
#include "coordination/gateway/server_load.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::attempt_outcome;
using state::gateway::asking_reason;
using state::gateway::pending_request;
using state::gateway::running_attempt;

constexpr int firstServerError = 500;
constexpr double newestWorkWeight = 0.1; ///< weight of one response in a service's typical service time

pending_request makeRequest(
    gateway_node& self, const request_arrived& arrived, const state::gateway::route& route, state::time_point now)
{
    pending_request request;
    request.id = arrived.id;
    request.callerRequestId = arrived.callerRequestId;
    request.config = self.config;
    request.matched = &route;
    const double offset = self.share.hosts > 0 ? static_cast<double>(self.share.rank) / self.share.hosts : 0;
    request.service = choosePart(self.splits[route.name], route, offset);
    request.arrivedAt = now;
    request.objectiveAt = now + route.objective;
    request.callerDeadline = now + arrived.callerWaits.value_or(route.timeout);
    request.answerBy = std::min(now + route.timeout, request.callerDeadline);
    request.dueAt = request.answerBy;
    return request;
}

void learnWork(
    gateway_node& self, const pending_request& request, const running_attempt& attempt, state::time_point now)
{
    auto* const server = findServer(self, attempt.server);
    if (server == nullptr)
        return;
    const auto took = now - attempt.startedAt;
    noteDuration(*server, took, attempt.expected, now);
    auto& known = self.services[request.service].typicalWork;
    const auto typical = typicalWork(self, request.service, request.matched->objective);
    // The part of the duration that the server's slowdown and queue explain does not belong to the service time.
    const double works = static_cast<double>(attempt.expected.count())
        / static_cast<double>(std::max<std::int64_t>(typical.count(), 1));
    const auto work = std::chrono::duration_cast<state::duration>(took / std::max(works, 1.0));
    known = typical + std::chrono::duration_cast<state::duration>((work - typical) * newestWorkWeight);
}

void noteServerBehaviour(gateway_node& self, const pending_request& request, const running_attempt& attempt,
    const attempt_finished& finished, state::time_point now)
{
    auto* const server = findServer(self, attempt.server);
    if (server == nullptr)
        return;
    switch (finished.outcome) {
    case attempt_outcome::answered:
        noteAnswer(*server, finished.status < firstServerError, now);
        return learnWork(self, request, attempt, now);
    case attempt_outcome::shed:
        return noteAnswer(*server, false, now);
    case attempt_outcome::connect_failed:
        return noteUnreachable(*server, now);
    case attempt_outcome::cut:
    case attempt_outcome::mismatched:
        return noteAnswer(*server, false, now);
    case attempt_outcome::timed_out:
        noteAnswer(*server, false, now);
        return noteDuration(*server, now - attempt.startedAt, attempt.expected, now);
    default:
        return;
    }
}

state::refusal_reason findReason(const pending_request& request)
{
    if (request.mayHaveRun)
        return state::refusal_reason::broken_answer;
    return request.lastOutcome == attempt_outcome::connect_failed ? state::refusal_reason::no_server
                                                                  : state::refusal_reason::overloaded;
}

void tryAgain(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    if (!request.running.empty() || request.round)
        return schedule(self, request);
    if (!mayRepeat(self, request, now)) {
        effects.emplace_back(describeDenial(self, request));
        return endWithRefusal(self, request, findReason(request), now, random, effects);
    }
    beginRound(self, request, asking_reason::retry, now, random, effects);
}

void keepFallback(pending_request& request, const running_attempt& attempt, effect_list& effects)
{
    if (request.fallback)
        effects.emplace_back(discard_answer { attempt.id });
    else
        request.fallback = { attempt.id, attempt.server };
}

void settleAnswer(gateway_node& self, pending_request& request, const running_attempt& attempt,
    const attempt_finished& finished, state::time_point now, random_generator& random, effect_list& effects)
{
    const bool idempotent = request.matched->kind == state::gateway::request_kind::idempotent;
    if (finished.status < firstServerError || !idempotent)
        return endWithAnswer(self, request, { attempt.id, attempt.server }, now, effects);
    keepFallback(request, attempt, effects);
    tryAgain(self, request, now, random, effects);
}

void settleAttempt(gateway_node& self, pending_request& request, const running_attempt& attempt,
    const attempt_finished& finished, state::time_point now, random_generator& random, effect_list& effects)
{
    request.lastOutcome = finished.outcome;
    if (finished.outcome == attempt_outcome::answered)
        return settleAnswer(self, request, attempt, finished, now, random, effects);
    if (state::verdictOf(finished.outcome) == state::verdict::may_have_run)
        request.mayHaveRun = true;
    else
        --request.possibleRuns;
    if (finished.outcome == attempt_outcome::connect_failed)
        --request.sends; // the server received nothing
    tryAgain(self, request, now, random, effects);
}

void advanceRequest(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    if (now >= request.answerBy)
        return endWithRefusal(self, request, state::refusal_reason::deadline_exceeded, now, random, effects);
    if (request.round && now >= request.round->decideAt)
        return advanceRound(self, request, now, random, effects);
    if (request.askAgainAt && now >= *request.askAgainAt) {
        const auto reason = request.sends > 0 ? asking_reason::retry : asking_reason::first_send;
        return beginRound(self, request, reason, now, random, effects);
    }
    if (request.hedgeAt && now >= *request.hedgeAt) {
        request.hedgeAt.reset();
        if (!request.running.empty() && mayRepeat(self, request, now))
            return beginRound(self, request, asking_reason::hedge, now, random, effects);
    }
    schedule(self, request);
}

} // namespace

void admitRequest(gateway_node& self, const request_arrived& arrived, state::time_point now, random_generator& random,
    effect_list& effects)
{
    if (self.phase >= node_phase::draining)
        return refuseUnkept(self, arrived.id, arrived.callerRequestId, state::refusal_reason::leaving, random, effects);
    if (!self.config)
        return refuseUnkept(
            self, arrived.id, arrived.callerRequestId, state::refusal_reason::no_server, random, effects);
    const auto* route = findRoute(*self.config, arrived.host, arrived.path);
    if (route == nullptr)
        return refuseUnkept(
            self, arrived.id, arrived.callerRequestId, state::refusal_reason::no_route, random, effects);
    auto& request = self.requests[static_cast<std::uint64_t>(arrived.id)] = makeRequest(self, arrived, *route, now);
    noteRequest(self.services[request.service].repeats, self.settings.bounds, now);
    schedule(self, request);
    beginRound(self, request, asking_reason::first_send, now, random, effects);
}

void noteCallerGone(gateway_node& self, const caller_gone& gone, state::time_point now, effect_list& effects)
{
    const auto found = self.requests.find(static_cast<std::uint64_t>(gone.id));
    if (found != self.requests.end())
        endUnheard(self, found->second, now, effects);
}

void noteAttemptFinished(gateway_node& self, const attempt_finished& finished, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto known = self.attempts.find(static_cast<std::uint64_t>(finished.id));
    if (known == self.attempts.end())
        return;
    const auto [requestId, server] = known->second;
    self.attempts.erase(known);
    ++self.counters.attemptsByOutcome[finished.outcome];
    noteSendEnded(self, server);
    if (finished.report)
        noteReport(self, server, *finished.report, now);
    auto& request = self.requests.at(static_cast<std::uint64_t>(requestId));
    auto& running = request.running;
    const auto position
        = std::find_if(running.begin(), running.end(), [&](const auto& other) { return other.id == finished.id; });
    const auto attempt = *position;
    running.erase(position);
    effects.emplace_back(describeAttempt(request, attempt, finished, now));
    noteServerBehaviour(self, request, attempt, finished, now);
    settleAttempt(self, request, attempt, finished, now, random, effects);
}

void advanceDueRequests(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    while (!self.due.empty() && self.due.begin()->first <= now)
        advanceRequest(self, self.requests.at(self.due.begin()->second), now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
