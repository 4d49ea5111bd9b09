#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: many hosts each decide about a few requests of a team, and must learn within a fraction of a second when
/// their sum exceeds the team's allowance.
///
/// Hosts report what they have admitted and refused to the team's keepers in their data centre, which exchange their
/// sums with the keepers in other data centres and send notices to the hosts of their own while the team is limited.
/// Of the two keepers in a data centre, the one that has known the team for longer sends; the other one takes over when
/// it hears nothing.

/// Handles the reports and notices in another host's heartbeat.
void handleAllowanceMessages(gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now);

/// Sends the reports and notices that are due.
void processAllowances(gateway_node& self, state::time_point now, effect_list& effects);

/// When `processAllowances` is next due; empty while no team with a limit has requests.
[[nodiscard]] std::optional<state::time_point> nextAllowanceStep(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
