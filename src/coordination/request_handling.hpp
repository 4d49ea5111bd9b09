#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Admits a caller's request: sends it to a server, queues it, or refuses it with the proof that it did not run.
void admitRequest(
    node& self, const request_arrived& arrived, state::time_point now, random_generator& random, effect_list& effects);

/// Handles the outcome of an attempt, including one whose request has already ended: answers the caller, retries, or
/// refuses with a verdict that covers all attempts. Then it sends waiting requests of the service to servers with free
/// capacity.
/// \pre every send_attempt is followed by exactly one outcome, also after a cancel_attempt
void handleAttemptFinished(node& self, const attempt_finished& finished, state::time_point now,
    random_generator& random, effect_list& effects);

/// Removes a request whose caller has disconnected, and cancels its running attempts.
void handleCallerDisconnected(
    node& self, const caller_disconnected& disconnected, state::time_point now, effect_list& effects);

/// Processes the requests that are due: ends those past their deadline or their maximum wait, and sends hedges.
/// \details Takes constant time when no request is due.
void processDueRequests(node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Sends the waiting requests of every service to servers with free capacity.
/// \details Called periodically, because capacity can become available without an attempt of this node ending.
void dispatchAllWaiting(node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
