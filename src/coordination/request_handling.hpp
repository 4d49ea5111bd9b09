#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Takes a caller's request: sends it, lets it wait, or refuses it with proof that it did not run.
void admitRequest(
    node& self, const request_arrived& arrived, state::time_point now, random_generator& random, effect_list& effects);

/// Takes an attempt's outcome: answers, tries again or refuses with the truthful verdict.
void noteAttemptResult(node& self, const attempt_finished& finished, state::time_point now, random_generator& random,
    effect_list& effects);

/// Drops a request whose caller has gone, and cancels what runs for it.
void noteCallerGone(node& self, const caller_gone& gone, state::time_point now, effect_list& effects);

/// Ends requests past their deadline, gives waiting requests a server, sends hedges that are due.
void advanceRequests(node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
