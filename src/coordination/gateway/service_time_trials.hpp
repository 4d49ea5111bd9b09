#pragma once

#include "coordination/gateway/completion_estimate.hpp"
#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: a half-open circuit breaker with a slow start. A service was slow, and its servers are fast again. If every
/// request with a short deadline is refused because of the learned service time, no response corrects it.
///
/// Of the requests that are refused only because of what this host has learned, a few are therefore sent: at first one
/// at a time, twice as many after each success, half as many after each failure. While servers are slow, one request at
/// a time fails, with pauses in between, and all others are refused at once.

/// Decides whether a request that appears to be late is sent as a trial, and records it.
/// \param estimate of the best server
/// \return false: the servers are busy or say that they are slow themselves, or enough trials are in flight
[[nodiscard]] bool startServiceTimeTrial(gateway_node& self, state::gateway::pending_request& request,
    const completion_estimate& estimate, state::time_point now, effect_list& effects);

/// Records the end of a request that may be a trial.
void endServiceTimeTrial(
    gateway_node& self, const state::gateway::pending_request& request, trial_outcome outcome, state::time_point now);

} // namespace acaciaslip::coordination::gateway
