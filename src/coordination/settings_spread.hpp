#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Takes a published value: a higher revision that validates goes in force; the last good one stays otherwise.
void noteValue(node& self, const value_received& received, state::time_point now, effect_list& effects);

/// Plans the next read after one that failed.
void noteValueReadFailed(node& self, const value_read_failed& failed, state::time_point now, random_generator& random);

/// Answers another node's request for a value.
void serveValue(const node& self, const value_requested& requested, effect_list& effects);

/// Starts the reads that are due, from the platform or from peers.
void planReads(node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
