#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Routes a new request and starts probing servers for it, or refuses it.
void admitRequest(gateway_node& self, const request_arrived& arrived, state::time_point now, random_generator& random,
    effect_list& effects);

/// Ends a request whose caller has disconnected.
void handleCallerDisconnected(
    gateway_node& self, const caller_disconnected& disconnected, state::time_point now, effect_list& effects);

/// Answers, retries or refuses a request after one of its attempts has finished.
void handleAttemptFinished(gateway_node& self, const attempt_finished& finished, state::time_point now,
    random_generator& random, effect_list& effects);

/// Processes all requests whose next step is due.
void processDueRequests(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
