#pragma once

#include "coordination/gateway/team_allowance.hpp"
#include "state/gateway/allowance_messages.hpp"
#include "state/gateway/configuration.hpp"
#include "state/gateway/peer_heartbeat.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Keepers of a team's allowance, as this host last chose them.
struct chosen_keepers {
    std::vector<state::gateway::peer_ip> own; ///< in this host's data centre, in order of preference
    std::map<state::data_centre_id, std::vector<state::gateway::peer_ip>> others;
    std::optional<state::time_point> chosenAt;
};

/// A keeper's latest notice about a team.
struct received_notice {
    double ratio = 1;
    state::duration retryAfter {};
    state::gateway::peer_ip keeper;
    state::time_point knownSince; ///< when the keeper began to know the team
    state::time_point renewedAt;
};

/// What this host has admitted and refused for a team.
struct team_use {
    std::uint64_t admitted = 0; ///< since this host has counted
    std::uint64_t refused = 0;
    std::uint32_t newlyAdmitted = 0; ///< not reported yet
    std::uint32_t newlyRefused = 0;
    double credit = 0; ///< sum of the ratios of requests since the latest one that was admitted under a limit
    std::optional<received_notice> notice;
    double localLevel = 0; ///< requests that this host may admit while it is cut off from all others
    std::optional<state::time_point> localSince; ///< when the local bucket was last filled; empty: not in use
    chosen_keepers keepers;
};

/// A team whose allowance this host keeps.
struct kept_team {
    /// What one host has reported.
    struct host_counts {
        std::int64_t incarnation = 0;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        state::time_point heardAt;
    };
    /// The other keeper in this data centre.
    struct mate {
        state::gateway::peer_ip ip;
        state::time_point knownSince; ///< when it began to know the team
        state::time_point heardAt;
    };

    team_allowance allowance;
    std::unordered_map<state::gateway::peer_ip, host_counts> hosts;
    std::optional<mate> otherKeeper;
    std::uint64_t reportedAdmitted = 0; ///< of the data centre, in the latest report of either keeper
    std::uint64_t reportedRefused = 0;
    state::time_point nextReportAt; ///< to the other keepers
    bool limited = false; ///< notices are sent
    std::uint32_t stepsWithoutLimit = 0; ///< since the ratio was last below 1
    chosen_keepers keepers;
};

/// State of the teams' allowances; empty while no team has a limit.
struct allowance_state {
    struct known_team {
        const state::gateway::team* team = nullptr; ///< points into `config`
        state::time_point knownSince; ///< when this host learned of the team
    };
    std::shared_ptr<const state::gateway::configuration> config; ///< that `teams` is made from
    std::unordered_map<state::gateway::team_digest, known_team> teams; ///< that have a limit
    std::unordered_map<state::gateway::team_digest, team_use> uses;
    std::unordered_map<state::gateway::team_digest, kept_team> kept;
    std::optional<state::time_point> reportAt; ///< when to report what was admitted and refused
    std::optional<state::time_point> keepAt; ///< next step of the teams that this host keeps
    std::optional<state::time_point> heardAt; ///< latest heartbeat of any other host
    std::uint32_t hostsHeard = 0; ///< number of hosts, at that time
    std::uint64_t messages = 0; ///< datagrams sent for allowances
};

} // namespace acaciaslip::coordination::gateway
