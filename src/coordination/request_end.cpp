#include "coordination/request_end.hpp"

#include "coordination/deadlines.hpp"
#include "coordination/idempotency_keys.hpp"
#include "coordination/node.hpp"
#include "coordination/waiting.hpp"

namespace acaciaslip::coordination {

namespace {

bool isLeaving(const node& self) noexcept
{
    return self.phase >= node_phase::lame_duck;
}

void cancelRunningAttempts(const state::request& request, effect_list& effects)
{
    for (const auto id : request.attemptsInFlight)
        effects.emplace_back(cancel_attempt { id });
}

/// Attempts without an outcome stay in the table, because the server's in-flight count must be decremented when they
/// end.
void eraseRequest(node& self, state::request& request)
{
    removeFromQueue(self, request);
    unscheduleRequest(self.requests, request);
    releaseKey(self.requests, request.idempotencyKey);
    self.requests.requests.erase(request.id);
}

void recordOutcome(node& self, const state::request& request, state::verdict outcome)
{
    ++self.counters.requestsByVerdict[outcome];
    state::observe(self.counters.durationByVerdict[outcome], self.lastEventAt - request.arrivedAt);
}

} // namespace

state::verdict verdictWithoutAnswer(const state::request& request) noexcept
{
    const bool uncertain = request.mayHaveRun || !request.attemptsInFlight.empty();
    return uncertain ? state::verdict::may_have_run : state::verdict::not_run;
}

void endWithAnswer(node& self, state::request& request, const state::host_id& server,
    const state::payload_pointer& answer, effect_list& effects)
{
    recordOutcome(self, request, state::verdict::ran);
    effects.emplace_back(answer_caller { request.id, server, request.attempts, isLeaving(self), answer });
    cancelRunningAttempts(request, effects);
    eraseRequest(self, request);
}

void endWithRefusal(
    node& self, state::request& request, state::refusal_reason reason, state::duration retryAfter, effect_list& effects)
{
    const auto outcome = verdictWithoutAnswer(request);
    recordOutcome(self, request, outcome);
    ++self.counters.refusals[reason];
    effects.emplace_back(refuse_caller { request.id, reason, outcome, request.attempts, retryAfter, isLeaving(self) });
    cancelRunningAttempts(request, effects);
    eraseRequest(self, request);
}

void endAbandonedRequest(node& self, state::request& request, effect_list& effects)
{
    ++self.counters.callersDisconnected;
    cancelRunningAttempts(request, effects);
    eraseRequest(self, request);
}

void refuseUnadmitted(
    node& self, state::request_id id, state::refusal_reason reason, state::duration retryAfter, effect_list& effects)
{
    ++self.counters.requestsByVerdict[state::verdict::not_run];
    ++self.counters.refusals[reason];
    effects.emplace_back(refuse_caller { id, reason, state::verdict::not_run, 0, retryAfter, isLeaving(self) });
}

} // namespace acaciaslip::coordination
