#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/identifiers.hpp"
#include "state/peer_message.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Counts an attempt that is about to be sent as in flight.
void recordAttemptStarted(node& self, state::server_index index, state::time_point now);

/// Updates a server's in-flight count, latency, cold-start state and ejection from the outcome of an attempt.
/// \param startedAt when the attempt was sent
void recordAttemptFinished(node& self, state::server_index index, const attempt_finished& finished,
    state::time_point startedAt, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
