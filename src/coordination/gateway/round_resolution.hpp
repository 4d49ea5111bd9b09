#pragma once

#include "coordination/gateway/completion_estimate.hpp"
#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Minimum time between two rounds of one request.
inline constexpr state::duration minPause = std::chrono::milliseconds { 30 };

/// The best of the servers that have answered in a probe round.
struct candidate {
    const state::host_id* server = nullptr; ///< null: none may receive the request
    completion_estimate estimate;
    bool heldBack = false; ///< a server has free slots, but keeps them for more urgent requests
};

/// Returns the server with the earliest estimated completion among those that have answered in this round.
[[nodiscard]] candidate findBest(
    gateway_node& self, const state::gateway::pending_request& request, state::time_point now);

/// Whether a server is good enough to be chosen before all probes have been answered.
[[nodiscard]] bool isGood(
    const gateway_node& self, const state::gateway::pending_request& request, const candidate& best);

/// Ends a round: sends the request to the best server, waits for a better one, or refuses the request.
void resolveRound(gateway_node& self, state::gateway::pending_request& request, const candidate& best,
    state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
