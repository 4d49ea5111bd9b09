#include "coordination/gateway/service_time_trials.hpp"

#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/request_log.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;
using state::gateway::service_time_trials;

constexpr std::uint32_t maxTrials = 64; ///< in flight; a service that serves this many is corrected within moments
/// Bounds of the pause after a failure. The longest one is the time after which a service that is fast again serves its
/// first caller.
constexpr state::duration minTrialPause = std::chrono::milliseconds { 100 };
constexpr state::duration maxTrialPause = std::chrono::seconds { 3 };
/// After this time without a trial, the next ones start slowly again: the servers may have become slow.
constexpr state::duration trialMemory = std::chrono::seconds { 10 };

/// Whether only what this host has learned makes the request appear to be late: the service time, or a server's
/// slowdown and failures. A server's queue and reported slowdown are true at this moment.
bool isLateByLearning(const gateway_node& self, const pending_request& request, const completion_estimate& estimate,
    state::time_point now) noexcept
{
    return estimate.startsImmediately
        && (now + typicalServiceTime(self, request) > request.deadline
            || now + estimate.reportedTime <= request.deadline);
}

void recordFailure(service_time_trials& trials, state::duration took, state::time_point now)
{
    // Trials that were in flight at an earlier failure say nothing new.
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
    if (!isLateByLearning(self, request, estimate, now))
        return false;
    if (request.isServiceTimeTrial) // a retry
        return true;
    auto& trials = findTrials(self, request);
    // After a change of the configuration, a trial may have ended as a request of another class.
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
    if (std::erase(trials.inFlight, request.id) == 0) // it started before a change of the configuration
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
