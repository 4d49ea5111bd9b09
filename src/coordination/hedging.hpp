#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_ledger.hpp"
#include "state/service_activity.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Adds an answer's latency to a service's histogram; older ones fade.
void noteLatency(state::latency_histogram& latencies, state::duration latency) noexcept;

/// The latency that a share of recent answers stayed under.
/// \param share between 0 and 1
/// \return nothing when too few answers have been seen to tell
[[nodiscard]] std::optional<state::duration> findQuantile(
    const state::latency_histogram& latencies, double share) noexcept;

/// Adds to a service's hedge budget what one request that arrives brings.
/// \param share hedges as a share of requests
void fillHedgeBudget(state::service_activity& activity, double share, state::time_point now) noexcept;

/// Plans a hedge for a request whose first attempt has been sent: when it has taken longer than most.
/// \details Only for idempotent requests of services that hedge. A hedge is sent at the first event after it is due;
/// ticks bound how late that is.
void planHedge(node& self, state::request& request, state::time_point now);

/// Sends a request that takes long to a second server, if the budget allows and nobody waits for one.
void sendHedge(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
