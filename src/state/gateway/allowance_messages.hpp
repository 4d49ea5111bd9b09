#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace acaciaslip::state::gateway {

/// Identifies a team in messages between hosts: a digest of its name, so that long names do not fill datagrams.
using team_digest = std::uint64_t;

/// The longest entries take 73 and 36 bytes, the rest of a heartbeat 120 of its 1,400.
inline constexpr std::size_t maxReportsPerDatagram = 17;
inline constexpr std::size_t maxNoticesPerDatagram = 35;

/// Largest level, in requests, and demand, in requests per second, of a keeper in a message. Real ones are far lower.
inline constexpr double maxReportedAmount = 1e12;

/// What one keeper of a team's allowance knows beyond its counts.
struct keeper_state {
    double level = 0; ///< requests left in the bucket; negative when too many were admitted
    double demand = 0; ///< requests per second of the sender's data centre
    duration knownFor {}; ///< for which the sender has been a keeper of the team

    [[nodiscard]] bool operator==(const keeper_state&) const = default;
};

/// What a host has admitted and refused for a team, or what a keeper knows of its whole data centre.
struct allowance_report {
    team_digest team = 0;
    std::uint64_t admitted = 0; ///< since the sender began to count
    std::uint64_t refused = 0; ///< likewise
    std::uint32_t newlyAdmitted = 0; ///< since the sender's previous report, for receivers that have none of it
    std::uint32_t newlyRefused = 0; ///< likewise
    std::optional<keeper_state> keeper; ///< set if the counts are those of the sender's data centre

    [[nodiscard]] bool operator==(const allowance_report&) const = default;
};

/// What the hosts of a data centre must do about a team's requests.
struct allowance_notice {
    team_digest team = 0;
    double ratio = 1; ///< share of the requests to admit; 1: the limit has ended
    duration retryAfter {}; ///< after which a refused caller may expect service
    duration knownFor {}; ///< for which the sender has been a keeper of the team

    [[nodiscard]] bool operator==(const allowance_notice&) const = default;
};

} // namespace acaciaslip::state::gateway
