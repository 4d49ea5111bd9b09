#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: stale load. A server's speed changes several times while one request runs, so a remembered load figure is
/// worth little. Servers are asked just before a request is sent, a few at a time, and the best answer is taken.

/// Begins to ask servers for a request. Refuses or ends the request when there is nobody to ask.
void beginRound(gateway_node& self, state::gateway::pending_request& request, state::gateway::asking_reason reason,
    state::time_point now, random_generator& random, effect_list& effects);

/// Takes a server's answer, or its silence, and decides for the request that asked if enough is known.
void noteAskFinished(gateway_node& self, const ask_finished& finished, state::time_point now, random_generator& random,
    effect_list& effects);

/// Decides for a request whose round has run out of time.
void advanceRound(gateway_node& self, state::gateway::pending_request& request, state::time_point now,
    random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
