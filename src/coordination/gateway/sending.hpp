#pragma once

#include "coordination/gateway/completion_estimate.hpp"
#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Sends a request to a server. Retries and hedges require the permission of the retry budget.
void sendRequest(gateway_node& self, state::gateway::pending_request& request, state::host_id server,
    const completion_estimate& estimate, state::gateway::send_reason reason, state::time_point now,
    random_generator& random, effect_list& effects);

/// Whether a request may be sent once more, according to its kind, its route and the retry budget.
[[nodiscard]] bool mayRetry(gateway_node& self, const state::gateway::pending_request& request, state::time_point now);

} // namespace acaciaslip::coordination::gateway
