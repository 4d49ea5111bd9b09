#pragma once

#include "coordination/forward_declarations.hpp"
#include "coordination/gateway/node.hpp"

#include <vector>

namespace acaciaslip::coordination::gateway {

/// Pattern: server in need names a request rate for all hosts together.
///
/// No host knows what the others send, and an equal share for each host is not enough: hundreds of hosts that may each
/// send one request now and then may all do so in the same second. The hosts therefore take turns: each has its own
/// time slots on the fleet's clock. Heartbeats tell the other hosts that a limit was named or has ended, since a host
/// may be without an answer of the server for minutes.

/// Stores the limit that a server names in the response to a request; a regular response without one ends it.
void recordAnswerLimit(gateway_node& self, const state::host_id& server, const attempt_finished& finished,
    state::time_point now, effect_list& effects);

/// Stores the limit that a server names in the response to a probe. A probe does not end a limit, since servers need
/// not repeat it there.
void recordProbeLimit(gateway_node& self, const state::host_id& server, const state::gateway::limit_report& limit,
    state::time_point now, effect_list& effects);

/// Returns a sample of the known limits, and of those that have ended a short time ago, for a heartbeat.
[[nodiscard]] std::vector<state::gateway::limit_notice> sampleLimits(
    const gateway_node& self, state::time_point now, random_generator& random);

/// Stores limits that another host knows, unless this node has later answers.
void adoptLimits(gateway_node& self, const std::vector<state::gateway::limit_notice>& limits, state::time_point now,
    effect_list& effects);

/// Whether no host is known to have received a response of a limited server recently. The limit may have ended, so this
/// node should use its next turn.
[[nodiscard]] bool isLimitUnconfirmed(
    const gateway_node& self, const state::gateway::server_state& server, state::time_point now) noexcept;

/// Time until this node may send one more request to a server; zero for a server without a limit.
[[nodiscard]] state::duration timeUntilWithinLimit(
    const gateway_node& self, const state::gateway::server_state& server, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
