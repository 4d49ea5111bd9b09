#include "coordination/gateway/request_end.hpp"

#include "coordination/gateway/due_requests.hpp"
#include "coordination/gateway/lethal_requests.hpp"
#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/request_log.hpp"
#include "coordination/gateway/retry_after.hpp"
#include "coordination/gateway/server_load.hpp"
#include "coordination/gateway/service_time_trials.hpp"
#include "coordination/gateway/waiting_order.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;

bool isLeaving(const gateway_node& self) noexcept
{
    return self.phase >= node_phase::leaving;
}

void cancelRunning(gateway_node& self, const pending_request& request, effect_list& effects)
{
    for (const auto& attempt : request.attemptsInFlight) {
        effects.emplace_back(cancel_attempt { attempt.id });
        self.attempts.erase(static_cast<std::uint64_t>(attempt.id));
        recordSendFinished(self, attempt.server);
    }
}

void removeRequest(gateway_node& self, const pending_request& request)
{
    unschedule(self, request);
    removeWaiting(self, request);
    self.requests.erase(static_cast<std::uint64_t>(request.id));
}

void countOutcome(gateway_node& self, const pending_request& request, state::verdict outcome, state::time_point now)
{
    ++self.counters.requestsByVerdict[outcome];
    state::observe(self.counters.durationByVerdict[outcome], now - request.arrivedAt);
}

} // namespace

state::verdict verdictWithoutAnswer(const pending_request& request) noexcept
{
    return request.mayHaveRun || !request.attemptsInFlight.empty() ? state::verdict::may_have_run
                                                                   : state::verdict::not_run;
}

void endWithAnswer(gateway_node& self, pending_request& request, const state::gateway::fallback_answer& answer,
    state::time_point now, effect_list& effects)
{
    countOutcome(self, request, state::verdict::ran, now);
    recordClassEnd(self, request, true, now);
    endServiceTimeTrial(self, request, trial_outcome::served, now);
    auto line = describeEnd(request, "answered", now);
    line.fields.back().second = state::findName(state::verdictNames, state::verdict::ran);
    line.fields.emplace_back("server", answer.server);
    appendClass(self, request, line);
    effects.emplace_back(std::move(line));
    effects.emplace_back(answer_caller { request.id, answer.attempt, isLeaving(self) });
    if (request.fallback && request.fallback->attempt != answer.attempt)
        effects.emplace_back(discard_answer { request.fallback->attempt });
    cancelRunning(self, request, effects);
    removeRequest(self, request);
}

void endWithRefusal(gateway_node& self, pending_request& request, state::refusal_reason reason, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (request.fallback)
        return endWithAnswer(self, request, state::gateway::fallback_answer(*request.fallback), now, effects);
    const auto outcome = verdictWithoutAnswer(request);
    countOutcome(self, request, outcome, now);
    recordClassEnd(self, request, false, now);
    const bool hasRun = outcome != state::verdict::not_run;
    endServiceTimeTrial(self, request, hasRun ? trial_outcome::failed : trial_outcome::not_run, now);
    ++self.counters.refusals[reason];
    const auto retryAfter = estimateRetryAfter(self, &request, reason, now, random);
    auto line = describeEnd(request, state::findName(state::refusalReasonNames, reason), now);
    line.fields.emplace_back(
        "retry_after_ms", std::to_string(static_cast<std::int64_t>(state::toMilliseconds(retryAfter))));
    appendClass(self, request, line);
    if (const auto lethal = findLethal(self, request.digests, now)) {
        line.fields.emplace_back("digest", describeDigest(*lethal));
        line.fields.emplace_back("ended_servers", describeEndedServers(self, *lethal));
    }
    effects.emplace_back(std::move(line));
    effects.emplace_back(refuse_caller { request.id, reason, outcome, retryAfter, isLeaving(self) });
    cancelRunning(self, request, effects);
    removeRequest(self, request);
}

void endAbandonedRequest(gateway_node& self, pending_request& request, state::time_point now, effect_list& effects)
{
    ++self.counters.callersDisconnected;
    endServiceTimeTrial(self, request, trial_outcome::failed, now);
    effects.emplace_back(describeEnd(request, "caller_gone", now));
    if (request.fallback)
        effects.emplace_back(discard_answer { request.fallback->attempt });
    cancelRunning(self, request, effects);
    removeRequest(self, request);
}

void refuseUnadmitted(gateway_node& self, state::request_id id, std::string_view callerRequestId,
    state::refusal_reason reason, state::time_point now, random_generator& random, effect_list& effects,
    std::vector<std::pair<std::string, std::string>> inputs)
{
    ++self.counters.requestsByVerdict[state::verdict::not_run];
    ++self.counters.refusals[reason];
    log_event line { log_level::info, "request",
        { { "id", std::string(callerRequestId) },
            { "outcome", std::string(state::findName(state::refusalReasonNames, reason)) },
            { "config", self.config ? std::to_string(self.config->version) : "none" } } };
    std::move(inputs.begin(), inputs.end(), std::back_inserter(line.fields));
    effects.emplace_back(std::move(line));
    effects.emplace_back(refuse_caller {
        id, reason, state::verdict::not_run, estimateRetryAfter(self, nullptr, reason, now, random), isLeaving(self) });
}

void refuseOverAllowance(gateway_node& self, const request_arrived& arrived, std::string_view team,
    const team_admission& decided, effect_list& effects)
{
    constexpr auto reason = state::refusal_reason::over_allowance;
    ++self.counters.requestsByVerdict[state::verdict::not_run];
    ++self.counters.refusals[reason];
    effects.emplace_back(log_event { log_level::info, "request",
        { { "id", arrived.callerRequestId },
            { "outcome", std::string(state::findName(state::refusalReasonNames, reason)) },
            { "config", std::to_string(self.config->version) }, { "team", std::string(team) },
            { "ratio", fmt::format("{:.3f}", decided.ratio) },
            { "ratio_age_ms", fmt::format("{:.0f}", state::toMilliseconds(decided.noticeAge)) },
            { "keeper", decided.keeper.empty() ? "none" : decided.keeper } } });
    effects.emplace_back(
        refuse_caller { arrived.id, reason, state::verdict::not_run, decided.retryAfter, isLeaving(self) });
}

} // namespace acaciaslip::coordination::gateway
