#pragma once

#include "coordination/forward_declarations.hpp"
#include "coordination/gateway/node.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Whether a server may receive new requests at all.
[[nodiscard]] bool isEligible(const state::gateway::server_state& server, state::time_point now) noexcept;

/// Whether this node may send one more request to a server now, as far as the server is cold, has named a limit, or has
/// asked for a pause.
[[nodiscard]] bool isAdmitted(
    const gateway_node& self, const state::gateway::server_state& server, state::time_point now) noexcept;

/// Time until this node's next turn at one of the servers that could receive the request now except for their limit.
/// \return empty if there is no such server
[[nodiscard]] std::optional<state::duration> timeUntilLimitedServer(
    const gateway_node& self, const state::gateway::pending_request& request, state::time_point now);

/// Chooses the servers to probe, best candidates first. Servers in the own data centre that are reachable and not known
/// to be slow or failing are preferred; ties are broken at random so that hosts do not all probe the same servers.
/// \param maxCount maximum number of servers to choose
/// \return servers that were neither tried for the request nor probed in its current round
[[nodiscard]] std::vector<state::host_id> chooseServersToProbe(const gateway_node& self,
    const state::gateway::pending_request& request, std::size_t maxCount, state::time_point now,
    random_generator& random);

} // namespace acaciaslip::coordination::gateway
