#pragma once

#include "coordination/gateway/completion_estimate.hpp"
#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: a half-open circuit breaker with slow start.
///
/// A request is refused if its estimated completion exceeds its deadline. The estimate relies on earlier responses.
/// When a slow service recovers, refused requests produce no responses, so the estimate would stay too high for ever.
///
/// A few of these requests are therefore sent as trials. One trial may be in flight at first. The limit doubles with
/// each success and halves with each failure; a failure at the lowest limit starts a pause that grows up to a few
/// seconds. All other requests are refused immediately.

/// Decides whether to send a request as a trial although its estimate exceeds its deadline, and records the trial.
/// \param estimate completion at the server that was chosen
/// \return false if the server is full or reports that it is slow, if trials are paused, or at the limit of trials
[[nodiscard]] bool startServiceTimeTrial(gateway_node& self, state::gateway::pending_request& request,
    const completion_estimate& estimate, state::time_point now, effect_list& effects);

/// Records how a request ended. Does nothing if it was not a trial.
void endServiceTimeTrial(
    gateway_node& self, const state::gateway::pending_request& request, trial_outcome outcome, state::time_point now);

} // namespace acaciaslip::coordination::gateway
