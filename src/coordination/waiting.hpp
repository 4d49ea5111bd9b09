#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_table.hpp"
#include "state/service_activity.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Queues a request until a server has free capacity, or refuses it. The queue is ordered by earliest deadline.
/// \details Refuses at once when no server is eligible, when the queue is full, and when the expected wait exceeds the
/// request's deadline or the maximum wait of the service.
void enqueueOrRefuse(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects);

/// Sends a service's waiting requests to servers with free capacity.
void dispatchWaiting(
    node& self, state::service_index service, state::time_point now, random_generator& random, effect_list& effects);

/// Removes a request from its service's queue. Does nothing when it is not queued.
void removeFromQueue(node& self, state::request& request);

/// The expected wait of a request with this deadline if it were queued now.
/// \return nothing when there are too few recent departures for an estimate
[[nodiscard]] std::optional<state::duration> expectedWait(
    const state::service_activity& activity, state::time_point deadline, state::time_point now);

/// How long a refused caller should wait before it retries: the expected wait of the queue, with random jitter so that
/// callers do not return all at once.
[[nodiscard]] state::duration estimateRetryAfter(
    const node& self, state::service_index service, random_generator& random);

} // namespace acaciaslip::coordination
