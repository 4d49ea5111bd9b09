#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Handles a heartbeat of another host: its state, the peers that it knows and changes of the published fleet.
void handleHeartbeat(gateway_node& self, const heartbeat_received& received, state::time_point now,
    random_generator& random, effect_list& effects);

/// Sends heartbeats that are due, removes peers that have timed out, and counts the remaining hosts.
void processMembership(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Creates a heartbeat with the node's own state only, without what it knows of others.
[[nodiscard]] state::gateway::peer_heartbeat makeShortHeartbeat(const gateway_node& self, state::time_point now);

/// Creates a heartbeat from the node's current state.
[[nodiscard]] state::gateway::peer_heartbeat makeHeartbeat(
    const gateway_node& self, state::time_point now, random_generator& random);

/// When `processMembership` is next due.
[[nodiscard]] state::time_point nextMembershipStep(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
