#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Takes a server's own word of its load.
void noteReport(
    gateway_node& self, const state::host_id& server, state::gateway::load_report report, state::time_point now);

/// Counts a request that is sent to a server.
void noteSend(gateway_node& self, const state::host_id& server, state::time_point now);

/// Counts a request that has ended at a server, however it ended.
void noteSendEnded(gateway_node& self, const state::host_id& server);

/// Finds a registered server.
/// \return the server, or null when it is not registered any more
[[nodiscard]] state::gateway::server_state* findServer(gateway_node& self, const state::host_id& id);

} // namespace acaciaslip::coordination::gateway
