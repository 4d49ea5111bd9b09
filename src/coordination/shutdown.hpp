#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Starts a graceful shutdown: enters the phase `lame_duck`, in which messages to peers mark this node as leaving.
void beginShutdown(node& self, state::time_point now, effect_list& effects);

/// Advances a graceful shutdown: refuses new requests after that phase, and stops once nothing is in progress.
void advanceShutdown(node& self, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
