#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Starts a planned stop: announces that this node leaves.
void beginStop(node& self, state::time_point now, effect_list& effects);

/// Moves a planned stop on: ends new work after the lame-duck time, and stops once nothing is in progress.
void advanceStop(node& self, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
