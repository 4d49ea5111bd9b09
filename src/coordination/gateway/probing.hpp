#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// A server's speed changes several times while one request runs, so a cached load figure is soon stale. Therefore a
/// few servers are probed just before a request is sent, and the best of them is chosen.

/// Starts a round of load probes for a request. Schedules another round or refuses the request when no server can be
/// probed.
void startProbeRound(gateway_node& self, state::gateway::pending_request& request, state::gateway::send_reason reason,
    state::time_point now, random_generator& random, effect_list& effects);

/// Handles the result of a probe, including a timeout, and chooses a server once enough results are known.
void handleProbeFinished(gateway_node& self, const probe_finished& finished, state::time_point now,
    random_generator& random, effect_list& effects);

/// Chooses a server for a request whose probe round has reached its time limit.
void finishProbeRound(gateway_node& self, state::gateway::pending_request& request, state::time_point now,
    random_generator& random, effect_list& effects);

/// Makes a probe of a server.
/// \return empty if the configuration does not contain the server's service
[[nodiscard]] std::optional<probe_server> makeProbe(
    gateway_node& self, const state::gateway::server_state& server, const state::gateway::configuration& config);

} // namespace acaciaslip::coordination::gateway
