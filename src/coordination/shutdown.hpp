#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Starts a graceful shutdown: enters the lame-duck phase, in which peers are told that this node is leaving.
void beginShutdown(node& self, state::time_point now, effect_list& effects);

/// Advances a graceful shutdown: refuses new requests after the lame-duck time, and stops once nothing is in progress.
void advanceShutdown(node& self, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
