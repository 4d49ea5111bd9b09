#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Sends the probes that are due, within this node's share of each server's budget.
void planProbes(node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
