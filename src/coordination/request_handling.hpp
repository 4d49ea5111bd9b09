#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Takes a caller's request: sends it, lets it wait, or refuses it with proof that it did not run.
void admitRequest(
    node& self, const request_arrived& arrived, state::time_point now, random_generator& random, effect_list& effects);

/// Takes an attempt's outcome, also when its request has ended: answers, tries again or refuses with the truthful
/// verdict, and gives the service's waiting requests the room that it made.
/// \pre every send_attempt is followed by exactly one outcome, cancelled ones too
void noteAttemptResult(node& self, const attempt_finished& finished, state::time_point now, random_generator& random,
    effect_list& effects);

/// Drops a request whose caller has gone, and cancels what runs for it.
void noteCallerGone(node& self, const caller_gone& gone, state::time_point now, effect_list& effects);

/// Does what is due: ends requests past their deadline or the end of their wait, sends hedges. Cheap when nothing is.
void advanceDueRequests(node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Gives waiting requests of every service a server: room may have come without an attempt's end here.
void serveAllWaiting(node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
