#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Stores a server's load report.
void recordLoadReport(
    gateway_node& self, const state::host_id& server, state::gateway::load_report report, state::time_point now);

/// Stores the limit that a server names in the response to a request; a regular response without one ends it.
void recordAnswerLimit(
    gateway_node& self, const state::host_id& server, const attempt_finished& finished, effect_list& effects);

/// Stores the limit that a server names in the response to a probe. A probe does not end a limit, since servers need
/// not repeat it there.
void recordProbeLimit(
    gateway_node& self, const state::host_id& server, const state::gateway::limit_report& limit, effect_list& effects);

/// Counts a request that is sent to a server.
void recordSend(gateway_node& self, const state::host_id& server, state::time_point now);

/// Counts a request that has finished on a server, with any outcome.
void recordSendFinished(gateway_node& self, const state::host_id& server);

/// Finds a registered server.
/// \return the server, or null if it is no longer registered
[[nodiscard]] state::gateway::server_state* findServer(gateway_node& self, const state::host_id& id);

} // namespace acaciaslip::coordination::gateway
