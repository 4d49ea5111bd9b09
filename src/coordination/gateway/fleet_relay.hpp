#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: lagging picture. A host that the store turns away, or that has just started, learns from the others: what
/// fits a datagram comes with a heartbeat, the rest is fetched from whoever says that it knows more.

/// Takes what was read of the published fleet, and tells those who may not know it.
void takePublished(gateway_node& self, const fleet_published& published, state::time_point now,
    random_generator& random, effect_list& effects);

/// Takes what a heartbeat says of the published fleet.
void noteRelay(gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now,
    random_generator& random, effect_list& effects);

/// Notes that a fetch from a peer has ended, whatever it brought.
void noteFetchEnded(gateway_node& self, state::time_point now, effect_list& effects);

/// Fetches what somebody is known to know and the store has not told meanwhile.
void advanceRelay(gateway_node& self, state::time_point now, effect_list& effects);

/// When `advanceRelay` is next due; nothing while nobody knows more.
[[nodiscard]] std::optional<state::time_point> nextRelayStep(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
