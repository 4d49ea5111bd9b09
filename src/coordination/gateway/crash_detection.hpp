#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// A connection that breaks during a request does not show whether the server has crashed. The server is therefore
/// probed: it has crashed if nothing, or another server, listens at its address.

/// Records that the connection of an attempt broke off, and probes the server.
void checkForCrash(gateway_node& self, const state::gateway::pending_request& request,
    const state::gateway::in_flight_attempt& attempt, state::time_point now, effect_list& effects);

/// Handles the result of such a probe.
/// \return false if it is a probe for a request
bool finishCrashCheck(gateway_node& self, const probe_finished& finished, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
