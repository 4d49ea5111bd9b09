#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: a host sees a request of a given team only now and then, and must decide at once.
///
/// A host admits every request of a team unless a keeper of the team's allowance has told it to admit only a share of
/// them. What it decides is reported to the keepers; see `allowance_exchange.hpp`.

/// Whether a team's request is admitted.
struct team_admission {
    bool admitted = true;
    state::duration retryAfter {}; ///< of a refusal
    double ratio = 1; ///< share of the team's requests that is admitted
    state::duration noticeAge {}; ///< of the ratio
    state::gateway::peer_ip keeper; ///< that sent the ratio; empty: this host is cut off and uses its own bucket
};

/// Decides whether a request of a team is within the team's allowance, and counts it.
[[nodiscard]] team_admission admitTeamRequest(
    gateway_node& self, const state::gateway::team& team, state::time_point now, random_generator& random);

/// Digest of a team's name in messages between hosts.
[[nodiscard]] state::gateway::team_digest digestOf(const state::gateway::team& team) noexcept;

/// Whether a keeper's notice is still in force.
[[nodiscard]] bool isInForce(const received_notice& notice, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
