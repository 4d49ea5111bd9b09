#pragma once

#include "coordination/forward_declarations.hpp"
#include "coordination/gateway/node.hpp"

#include <cstddef>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Whether a server may be sent new requests at all.
[[nodiscard]] bool isUsable(const state::gateway::server_state& server, state::time_point now) noexcept;

/// Whether a cold server may be sent one more request by this node now; true for warm ones.
[[nodiscard]] bool mayTakeWhileCold(
    const gateway_node& self, const state::gateway::server_state& server, state::time_point now) noexcept;

/// Chooses which servers to ask for their load, the most promising first: those of the own data centre, reachable,
/// not known to be slow or failing; chance decides between equals, so that hosts do not all ask the same ones.
/// \param most how many to choose
/// \return servers that were neither tried nor asked in the request's round
[[nodiscard]] std::vector<state::host_id> chooseServersToAsk(const gateway_node& self,
    const state::gateway::pending_request& request, std::size_t most, state::time_point now, random_generator& random);

} // namespace acaciaslip::coordination::gateway
