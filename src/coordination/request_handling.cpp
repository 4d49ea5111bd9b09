#include "coordination/request_handling.hpp"

#include "coordination/node.hpp"
#include "coordination/picking.hpp"
#include "coordination/routing.hpp"
#include "coordination/server_tracking.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration decisionLife = std::chrono::milliseconds { 250 };
constexpr state::duration retryAfter = std::chrono::seconds { 1 };
constexpr std::uint32_t maxAttempts = 4;

bool isLeaving(const node& self)
{
    return self.phase >= node_phase::lame_duck;
}

void refuse(node& self, const state::request& request, state::refusal_reason reason, effect_list& effects)
{
    const auto outcome = request.mayHaveRun ? state::verdict::may_have_run : state::verdict::not_run;
    ++self.counters.requestsByVerdict[outcome];
    ++self.counters.refusals[reason];
    effects.emplace_back(refuse_caller { request.id, reason, outcome, request.attempts, retryAfter, isLeaving(self) });
}

void forget(node& self, state::request_id id)
{
    const auto found = self.requests.requests.find(id);
    if (found == self.requests.requests.end())
        return;
    if (!found->second.idempotencyKey.empty())
        self.requests.keys.erase(found->second.idempotencyKey);
    self.requests.requests.erase(found);
}

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

bool sendTo(node& self, state::request& request, state::server_index index, state::time_point now, effect_list& effects)
{
    auto& server = self.fleet.servers[index];
    const auto& settings = self.fleet.services[request.service].settings;
    const auto nodes = std::max<std::size_t>(self.fleet.entryHosts.size(), 1);
    const auto id = state::attempt_id { self.requests.nextAttempt++ };
    self.requests.attempts[id] = request.id;
    request.running.push_back({ id, index, now, false });
    request.tried.push_back(index);
    ++request.attempts;
    noteAttemptStarted(self, index, now);
    const auto share = std::max<std::uint32_t>(1, settings.connections / static_cast<std::uint32_t>(nodes));
    effects.emplace_back(send_attempt { id, server.id, server.address, request.deadline,
        std::min(request.deadline, now + decisionLife), share, request.body });
    return true;
}

bool trySend(node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    const auto picked = pickServer(self, request, now, random);
    return picked && sendTo(self, request, *picked, now, effects);
}

bool mayTryAgain(const state::request& request, state::attempt_outcome outcome, state::time_point now)
{
    if (now >= request.deadline || request.attempts >= maxAttempts)
        return false;
    return request.idempotent || state::verdictOf(outcome) == state::verdict::not_run;
}

state::refusal_reason reasonOf(state::attempt_outcome outcome)
{
    switch (outcome) {
    case state::attempt_outcome::timed_out:
    case state::attempt_outcome::expired:
        return state::refusal_reason::deadline_exceeded;
    case state::attempt_outcome::cut:
    case state::attempt_outcome::mismatched:
    case state::attempt_outcome::cancelled:
        return state::refusal_reason::broken_answer;
    default:
        return state::refusal_reason::no_server;
    }
}

} // namespace

void admitRequest(
    node& self, const request_arrived& arrived, state::time_point now, random_generator& random, effect_list& effects)
{
    state::request request;
    request.id = arrived.id;
    request.body = arrived.body;
    request.arrivedAt = now;
    if (self.phase == node_phase::draining || self.phase == node_phase::stopped)
        return refuse(self, request, state::refusal_reason::leaving, effects);
    const auto service = findRoute(self.fleet, arrived.host, arrived.path);
    if (!service) {
        const auto reason
            = self.phase == node_phase::starting ? state::refusal_reason::no_server : state::refusal_reason::no_route;
        return refuse(self, request, reason, effects);
    }
    const auto& settings = self.fleet.services[*service].settings;
    request.service = *service;
    request.idempotent = isIdempotent(settings, arrived);
    request.deadline = now + std::min(arrived.timeout.value_or(settings.timeout), settings.timeout);
    if (!arrived.idempotencyKey.empty()) {
        request.idempotencyKey = settings.name.team + '/' + settings.name.name + '/' + arrived.idempotencyKey;
        if (!self.requests.keys.try_emplace(request.idempotencyKey, request.id).second)
            return refuse(self, request, state::refusal_reason::duplicate_key, effects);
    }
    auto& kept = self.requests.requests[request.id] = std::move(request);
    if (trySend(self, kept, now, random, effects))
        return;
    const auto& waiting = self.fleet.services[*service].waiting;
    if (waiting.size() >= settings.maxWaiting) {
        refuse(self, kept, state::refusal_reason::overloaded, effects);
        return forget(self, kept.id);
    }
    kept.waitingUntil = std::min(kept.deadline, now + settings.wait);
    self.fleet.services[*service].waiting.push_back(kept.id);
}

void noteAttemptResult(
    node& self, const attempt_finished& finished, state::time_point now, random_generator& random, effect_list& effects)
{
    const auto owner = self.requests.attempts.find(finished.id);
    if (owner == self.requests.attempts.end())
        return;
    const auto requestId = owner->second;
    self.requests.attempts.erase(owner);
    const auto found = self.requests.requests.find(requestId);
    if (found == self.requests.requests.end())
        return;
    auto& request = found->second;
    const auto running = std::find_if(request.running.begin(), request.running.end(),
        [&](const state::attempt& attempt) { return attempt.id == finished.id; });
    const state::attempt attempt = *running;
    request.running.erase(running);
    noteAttemptFinished(self, attempt.server, finished, attempt.startedAt, now, effects);
    if (finished.outcome == state::attempt_outcome::answered) {
        ++self.counters.requestsByVerdict[state::verdict::ran];
        effects.emplace_back(answer_caller {
            request.id, self.fleet.servers[attempt.server].id, request.attempts, isLeaving(self), finished.answer });
        return forget(self, requestId);
    }
    request.mayHaveRun |= state::verdictOf(finished.outcome) == state::verdict::may_have_run;
    if (mayTryAgain(request, finished.outcome, now) && trySend(self, request, now, random, effects)) {
        ++self.counters.retries;
        return;
    }
    refuse(self, request, reasonOf(finished.outcome), effects);
    forget(self, requestId);
}

void noteCallerGone(node& self, const caller_gone& gone, state::time_point /*now*/, effect_list& effects)
{
    const auto found = self.requests.requests.find(gone.id);
    if (found == self.requests.requests.end())
        return;
    for (const auto& attempt : found->second.running)
        effects.emplace_back(cancel_attempt { attempt.id });
}

void advanceRequests(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    for (auto& service : self.fleet.services) {
        std::vector<state::request_id> still;
        for (const auto id : service.waiting) {
            const auto found = self.requests.requests.find(id);
            if (found == self.requests.requests.end())
                continue;
            auto& request = found->second;
            if (now >= *request.waitingUntil) {
                refuse(self, request, state::refusal_reason::overloaded, effects);
                forget(self, id);
            } else if (trySend(self, request, now, random, effects)) {
                request.waitingUntil.reset();
            } else {
                still.push_back(id);
            }
        }
        service.waiting = std::move(still);
    }
}

} // namespace acaciaslip::coordination
