#pragma once

#include "coordination/gateway/settings.hpp"
#include "coordination/gateway/sliding_count.hpp"
#include "state/gateway/allowance_messages.hpp"
#include "state/gateway/team.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acaciaslip::coordination::gateway {

/// Pattern: the requests of one team arrive at any of many hosts, each of which sees only a few of them, while their
/// sum over all hosts has a limit.
///
/// One keeper's view of a team: a token bucket that holds what all hosts together may still admit, and the share of the
/// requests that hosts must admit so that the bucket does not run empty.

/// What a team may use.
struct allowance_terms {
    double rate = 0; ///< requests per second
    double burst = 0; ///< requests beyond the rate
    state::duration window {}; ///< span in which the rule limits the sum
    double excess = 0; ///< requests beyond rate x window + burst that the rule tolerates in a window

    [[nodiscard]] bool operator==(const allowance_terms&) const = default;
};

[[nodiscard]] allowance_terms makeTerms(const state::gateway::team& team, const fleet_limits& limits) noexcept;

/// Most requests that a team's bucket holds.
[[nodiscard]] double bucketDepth(const allowance_terms& terms) noexcept;

/// Requests that may be admitted at once when it is not known what was spent before.
[[nodiscard]] double startLevel(const allowance_terms& terms) noexcept;

/// Requests per second, averaged over the recent past.
struct demand_meter {
    double perSecond = 0;
    state::time_point updatedAt;
};

/// What a keeper knows of the team's requests in another data centre.
struct remote_use {
    std::string sender; ///< keeper there that last reported
    std::int64_t incarnation = 0; ///< of the sender
    std::uint64_t admitted = 0; ///< counted by the sender
    state::duration knownFor {}; ///< by the sender
    std::optional<state::time_point> heardAt;
    double demand = 0; ///< requests per second, as last reported
    double usualDemand = 0; ///< likewise, averaged over a window
    bool silent = false; ///< nothing is heard although there should be; the data centre is left its share
    state::time_point silentSince; ///< if silent
    double share = 0; ///< of the allowance, while silent
};

/// A keeper's knowledge of one team.
struct team_allowance {
    allowance_terms terms;
    double level = 0; ///< requests left in the bucket; negative when too many were admitted
    state::time_point updatedAt;
    state::time_point startedAt; ///< when this keeper began to know the team
    state::time_point countedSince; ///< since when `spent` is complete
    sliding_count spent; ///< in all data centres
    demand_meter demand; ///< of this data centre
    double usualDemand = 0; ///< requests per second of this data centre, averaged over a window
    std::uint64_t admitted = 0; ///< in this data centre since `startedAt`
    std::uint64_t refused = 0; ///< likewise
    std::map<state::data_centre_id, remote_use> remotes;
    state::time_point changedAt; ///< when the latest request of the team became known
    state::time_point activeSince; ///< start of the time without long pauses between requests
    double ratio = 1; ///< share of the requests that hosts admit
};

/// Starts to keep a team's allowance.
/// \param isIdle the team is known not to have used anything in the past window, so that its whole burst is left;
/// otherwise a new burst on top of what was spent could exceed the allowance
[[nodiscard]] team_allowance makeAllowance(const allowance_terms& terms, bool isIdle, state::time_point now);

/// Applies changed terms and rescales the bucket.
void changeTerms(team_allowance& kept, const allowance_terms& terms, state::time_point now);

/// Counts requests of hosts in the keeper's own data centre.
/// \param isRecent false for counts that are older than a window and say nothing about the present demand
void recordUse(
    team_allowance& kept, std::uint64_t admitted, std::uint64_t refused, bool isRecent, state::time_point now);

/// Makes another data centre known, from which reports are expected as long as the team is active.
void expectRemote(team_allowance& kept, const state::data_centre_id& dataCentre);

/// Counts what a keeper in another data centre reports.
/// \param sender the keeper's address
/// \param incarnation the keeper's start
void recordRemoteUse(team_allowance& kept, const state::data_centre_id& dataCentre, const std::string& sender,
    std::int64_t incarnation, const state::gateway::allowance_report& report, state::time_point now);

/// Adopts the level of a keeper that has known the team for longer, while this one cannot know what was spent before.
void adoptLevel(team_allowance& kept, const state::gateway::keeper_state& other, state::time_point now);

/// Fills the bucket, detects silent data centres and updates `ratio`.
void updateRatio(team_allowance& kept, state::time_point now);

/// Whether the team has had requests recently, so that its keepers must hear of each other.
[[nodiscard]] bool isActive(const team_allowance& kept, state::time_point now) noexcept;

/// Whether the team is so close to its limit that its keepers must hear of each other soon.
[[nodiscard]] bool isNearLimit(const team_allowance& kept, state::time_point now) noexcept;

/// Demand of the own data centre in requests per second.
[[nodiscard]] double currentDemand(const team_allowance& kept, state::time_point now) noexcept;

/// Time after which a refused caller may expect service.
[[nodiscard]] state::duration timeToReturn(const team_allowance& kept, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
