#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// The log lines about other hosts. A line for each pair of hosts grows with the square of the fleet, and each host
/// spends its start writing them. A host therefore logs how many hosts it knows in each data centre, when that changes,
/// and only the first few that were lost at the same time.

/// Logs the number of known hosts in each data centre if it has changed since the last line.
void logPeerCounts(gateway_node& self, effect_list& effects);

/// Logs hosts that were lost in one step, and how many were left out.
void logLostPeers(
    const std::vector<std::pair<state::gateway::peer_ip, state::data_centre_id>>& lost, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
