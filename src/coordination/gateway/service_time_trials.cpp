#include "coordination/gateway/service_time_trials.hpp"

#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/request_log.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;
using state::gateway::service_time_trials;

constexpr std::uint32_t maxTrials
    = 64; ///< most in flight; enough responses to correct an estimate within one service time
/// Bounds of the pause after a failure. A service that recovers receives its first trial after the longest pause at the
/// latest.
constexpr state::duration minTrialPause = std::chrono::milliseconds { 100 };
constexpr state::duration maxTrialPause = std::chrono::seconds { 3 };
/// After this time without a trial, the limit starts at one again, since the success of earlier trials is out of date.
constexpr state::duration trialMemory = std::chrono::seconds { 10 };

/// Whether the estimate exceeds the deadline only because of earlier responses: because of the service time, or because
/// of the slowdown and failures observed at the server. A server's reported queue and slowdown are current.
bool isLateOnlyByHistory(const gateway_node& self, const pending_request& request, const completion_estimate& estimate,
    state::time_point now) noexcept
{
    return estimate.startsImmediately
        && (now + typicalServiceTime(self, request) > request.deadline
            || now + estimate.timeWithoutHistory <= request.deadline);
}

void recordFailure(service_time_trials& trials, state::duration took, state::time_point now)
{
    // Trials that started before the pause fail for the same reason as the one that caused it.
    if (trials.pausedUntil && now < *trials.pausedUntil)
        return;
    if (trials.limit > 1) {
        trials.limit /= 2;
        return;
    }
    constexpr std::uint32_t maxDoublings = 16;
    trials.failures = std::min(trials.failures + 1, maxDoublings);
    const auto pause
        = std::clamp(std::min(took, maxTrialPause) * (1U << trials.failures), minTrialPause, maxTrialPause);
    trials.pausedUntil = now + pause;
}

} // namespace

bool startServiceTimeTrial(gateway_node& self, pending_request& request, const completion_estimate& estimate,
    state::time_point now, effect_list& effects)
{
    if (!isLateOnlyByHistory(self, request, estimate, now))
        return false;
    if (request.isServiceTimeTrial) // a retry
        return true;
    auto& trials = findTrials(self, request);
    // If the configuration changed during a trial, its end was recorded under another class or objective.
    std::erase_if(
        trials.inFlight, [&](state::request_id id) { return !self.requests.contains(static_cast<std::uint64_t>(id)); });
    if (trials.inFlight.empty() && now - trials.endedAt > trialMemory)
        trials = {};
    if ((trials.pausedUntil && now < *trials.pausedUntil) || trials.inFlight.size() >= trials.limit)
        return false;
    trials.inFlight.push_back(request.id);
    request.isServiceTimeTrial = true;
    effects.emplace_back(describeServiceTimeTrial(self, request, trials, now));
    return true;
}

void endServiceTimeTrial(
    gateway_node& self, const pending_request& request, trial_outcome outcome, state::time_point now)
{
    if (!request.isServiceTimeTrial)
        return;
    ++self.counters.serviceTimeTrials[outcome];
    auto& trials = findTrials(self, request);
    if (std::erase(trials.inFlight, request.id) == 0) // the configuration has changed during the trial
        return;
    trials.endedAt = now;
    switch (outcome) {
    case trial_outcome::served:
        trials.limit = std::min(trials.limit * 2, maxTrials);
        trials.failures = 0;
        trials.pausedUntil.reset();
        return;
    case trial_outcome::failed:
        return recordFailure(trials, now - request.arrivedAt, now);
    case trial_outcome::not_run:
        return;
    }
}

} // namespace acaciaslip::coordination::gateway
