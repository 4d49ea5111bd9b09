#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Puts a request at its place in the queue of due requests, as what it waits for now says.
void schedule(gateway_node& self, state::gateway::pending_request& request);

/// Takes a request out of the queue.
void unschedule(gateway_node& self, const state::gateway::pending_request& request);

} // namespace acaciaslip::coordination::gateway
