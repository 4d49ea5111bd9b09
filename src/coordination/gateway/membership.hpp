#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Takes another host's heartbeat: whom it knows, what it knows, what has changed.
void noteHeartbeat(
    gateway_node& self, const peer_heard& heard, state::time_point now, random_generator& random, effect_list& effects);

/// Sends what is due to other hosts, forgets those that are silent, and counts the rest.
void advanceMembership(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Makes a heartbeat that says what this node knows now.
[[nodiscard]] state::gateway::peer_heartbeat makeHeartbeat(
    const gateway_node& self, state::time_point now, random_generator& random);

/// When `advanceMembership` is next due.
[[nodiscard]] state::time_point nextMembershipStep(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
