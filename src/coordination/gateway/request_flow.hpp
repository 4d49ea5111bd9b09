#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Routes a new request and begins to ask servers for it, or refuses it.
void admitRequest(gateway_node& self, const request_arrived& arrived, state::time_point now, random_generator& random,
    effect_list& effects);

/// Ends a request whose caller has gone.
void noteCallerGone(gateway_node& self, const caller_gone& gone, state::time_point now, effect_list& effects);

/// Answers, repeats or refuses a request when an attempt has ended.
void noteAttemptFinished(gateway_node& self, const attempt_finished& finished, state::time_point now,
    random_generator& random, effect_list& effects);

/// Does what is due for every request at this time.
void advanceDueRequests(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
