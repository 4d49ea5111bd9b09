#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_ledger.hpp"
#include "state/service_activity.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Lets a request wait for a server, the earliest deadline first, or refuses it.
/// \details Refused at once when no server may take it, when the queue is full, and when the wait cannot be expected
/// to end in time.
void waitForServer(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects);

/// Gives a service's waiting requests the servers that have room.
void serveWaiting(
    node& self, state::service_index service, state::time_point now, random_generator& random, effect_list& effects);

/// Takes a request out of its service's queue. Does nothing when it does not wait.
void leaveQueue(node& self, state::request& request);

/// How long a request that joined the queue now would wait.
/// \return nothing when too little has been seen to tell
[[nodiscard]] std::optional<state::duration> expectedWait(
    const state::service_activity& activity, state::time_point deadline, state::time_point now);

/// When a refused caller may try anew: after the queue's expected wait, spread so that callers do not come together.
[[nodiscard]] state::duration findRetryAfter(const node& self, state::service_index service, random_generator& random);

} // namespace acaciaslip::coordination
