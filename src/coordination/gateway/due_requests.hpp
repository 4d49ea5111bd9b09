#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Inserts a request into the queue of due requests at the earliest time for which it waits.
void schedule(gateway_node& self, state::gateway::pending_request& request);

/// Removes a request from the queue.
void unschedule(gateway_node& self, const state::gateway::pending_request& request);

} // namespace acaciaslip::coordination::gateway
