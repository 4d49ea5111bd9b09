#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// A host that has just started, or whose requests the store rejects, learns the published fleet from its peers. Small
/// deltas are sent with heartbeats; larger ones are fetched from a peer that advertises a newer revision.

/// Applies an update of the published fleet and relays it to the hosts that may not have it.
void handleFleetUpdate(gateway_node& self, const fleet_update_received& published, state::time_point now,
    random_generator& random, effect_list& effects);

/// Applies the delta in a heartbeat, and schedules a fetch if the sender has a newer revision.
void applyRelayedChanges(gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now,
    random_generator& random, effect_list& effects);

/// Handles the end of a fetch from a peer, successful or not.
void handleFetchFinished(
    gateway_node& self, const fetch_finished& finished, state::time_point now, effect_list& effects);

/// Fetches changes that a peer has, unless they have arrived from the store in the meantime.
void processFetches(gateway_node& self, state::time_point now, effect_list& effects);

/// Whether this host cannot decode what its peers relay, and must read the store itself. Otherwise a single value that
/// it cannot decode would also hide all later changes from it.
[[nodiscard]] bool isRelayUnreadable(const gateway_node& self, state::time_point now) noexcept;

/// When `processFetches` is next due; empty while no peer has a newer revision.
[[nodiscard]] std::optional<state::time_point> nextFetchStep(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
