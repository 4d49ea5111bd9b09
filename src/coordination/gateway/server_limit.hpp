#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: server in need names a request rate for all hosts together.
///
/// No host knows what the others send, and an equal share for each host is not enough: hundreds of hosts that may each
/// send one request now and then may all do so in the same second. The hosts therefore take turns: each has its own
/// time slots on the fleet's clock.

/// Time until this node may send one more request to a server; zero for a server without a limit.
[[nodiscard]] state::duration timeUntilWithinLimit(
    const gateway_node& self, const state::gateway::server_state& server, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
