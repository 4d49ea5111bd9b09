#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <optional>

namespace acaciaslip::coordination::gateway {

/// This host's part in the fleet's budgets.
struct host_share {
    std::uint32_t hosts = 1;
    std::uint32_t rank = 0; ///< among the hosts, from 0
};

/// Pattern: cold restart under load. Many servers of a service return at once, cold, and every host would send to them
/// in the same second. The hosts take turns instead: each has its own instants, dealt out backwards from the moment at
/// which the server is warm, which all hosts know alike; a turn that is not used lapses.
///
/// \param coldUntil when the server is warm
/// \param perSecond requests that the server bears while cold, over all hosts
/// \param lastUsed when this host last sent to the cold server
/// \return whether this host may send one request now
[[nodiscard]] bool isColdTurn(state::time_point coldUntil, double perSecond, host_share share,
    std::optional<state::time_point> lastUsed, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
