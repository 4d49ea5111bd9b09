#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_table.hpp"
#include "state/service_activity.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Adds a response latency to a service's histogram, in which older samples decay.
void recordLatency(state::latency_histogram& latencies, state::duration latency) noexcept;

/// The given quantile of recent response latencies.
/// \param share the quantile, between 0 and 1
/// \return nothing when there are too few samples
[[nodiscard]] std::optional<state::duration> findQuantile(
    const state::latency_histogram& latencies, double share) noexcept;

/// Refills a service's hedge budget when a request arrives.
/// \param share maximum hedges as a share of requests
void fillHedgeBudget(state::service_activity& activity, double share, state::time_point now) noexcept;

/// Schedules a hedge for a request whose first attempt has been sent: it becomes due at a high latency quantile.
/// \details Only for idempotent requests of services with hedging enabled. A hedge is sent at the first event after it
/// is due; the tick interval bounds the delay.
void planHedge(node& self, state::request& request, state::time_point now);

/// Sends a slow request to a second server if the hedge budget allows it and no request waits for a server.
void sendHedge(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
