#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/peer_message.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Updates a server from a probe result: boot id, draining, cold start and load. The endpoints may report stale or
/// wrong data.
void handleProbeFinished(node& self, const probe_finished& finished, state::time_point now, effect_list& effects);

/// Applies the state that a peer has recently read from a server's health endpoint.
void applyPeerHealth(
    const node& self, state::server_record& server, state::observed_health health, state::time_point now);

/// The state that this node itself has recently read from a server's health endpoint, or `unread`.
[[nodiscard]] state::observed_health recentHealth(const state::server_record& server, state::time_point now) noexcept;

/// Clears a server's draining state when it has not been confirmed recently.
void expireDrainingReport(state::server_record& server, state::time_point now) noexcept;

} // namespace acaciaslip::coordination
