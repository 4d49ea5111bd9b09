#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// What this host knows as a keeper of teams' allowances. The messages are in `allowance_exchange.hpp`.

/// Indexes the teams with a limit of the configuration in force, and forgets the others.
void updateTeams(gateway_node& self, state::time_point now);

/// Counts what a host of this data centre has decided.
/// \param isRecent false for a report that is older than a window
void recordHostReport(gateway_node& self, const state::gateway::peer_ip& sender, std::int64_t incarnation,
    const state::gateway::allowance_report& report, bool isRecent, state::time_point now);

/// Adopts the report of the other keeper in this data centre.
void recordOtherKeeperReport(gateway_node& self, const state::gateway::peer_ip& sender,
    const state::gateway::allowance_report& report, state::time_point now);

/// Counts the report of a keeper in another data centre.
void recordRemoteReport(gateway_node& self, const state::data_centre_id& dataCentre,
    const state::gateway::peer_ip& sender, std::int64_t incarnation, const state::gateway::allowance_report& report,
    state::time_point now);

/// Makes the report of this data centre's sums for other keepers.
[[nodiscard]] state::gateway::allowance_report makeKeeperReport(
    kept_team& kept, state::gateway::team_digest team, state::time_point now);

/// Begins or ends the limit of a team after its ratio was updated.
void updateLimit(const gateway_node& self, kept_team& kept, state::gateway::team_digest team, state::time_point now,
    effect_list& effects);

/// Whether this keeper sends notices and reports of the team; otherwise the other one in its data centre does.
[[nodiscard]] bool isActing(const gateway_node& self, const kept_team& kept, state::time_point now);

/// Time between two reports to the other keepers.
[[nodiscard]] state::duration reportInterval(const kept_team& kept, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
