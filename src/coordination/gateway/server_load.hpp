#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Stores a server's load report.
void recordLoadReport(
    gateway_node& self, const state::host_id& server, state::gateway::load_report report, state::time_point now);

/// Counts a request that is sent to a server.
void recordSend(gateway_node& self, const state::host_id& server, state::time_point now);

/// Counts a request that has finished on a server, with any outcome.
void recordSendFinished(gateway_node& self, const state::host_id& server);

/// Finds a registered server.
/// \return the server, or null if it is no longer registered
[[nodiscard]] state::gateway::server_state* findServer(gateway_node& self, const state::host_id& id);

} // namespace acaciaslip::coordination::gateway
