#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: several requests wait at one host, and a request that has just arrived finds the server that became free.
///
/// In services with priorities, the server goes to the waiting request that comes first by priority and then by the
/// time at which it must start. Requests with equal times keep their order of arrival.

/// Records whether a request waits for a server, that is, whether it will probe again.
void updateWaiting(gateway_node& self, state::gateway::pending_request& request);

/// Removes a request that ends from those that wait.
void removeWaiting(gateway_node& self, const state::gateway::pending_request& request);

/// Finds the request that waits before another one.
/// \return the first waiting request of the service, or null if none comes before `request`
[[nodiscard]] state::gateway::pending_request* findFirstWaiting(
    gateway_node& self, const state::gateway::pending_request& request);

} // namespace acaciaslip::coordination::gateway
