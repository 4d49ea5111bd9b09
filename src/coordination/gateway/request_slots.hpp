#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <optional>

namespace acaciaslip::coordination::gateway {

/// This host's share of the fleet's budgets.
struct host_share {
    std::uint32_t hosts = 1;
    std::uint32_t rank = 0; ///< position among the hosts, starting at 0
};

/// A rate of requests that all hosts share without messages: each host has its own time slots on a clock that is the
/// same on all hosts. One request may be sent in each slot; unused slots expire.
///
/// \param untilAnchor time until the moment at which a slot of rank 0 starts, on the common clock; negative when it is
/// past \param perSecond requests per second of all hosts together \param lastUsed when this host last sent a request
/// within this rate \return time until this host may send a request; zero: now
[[nodiscard]] state::duration timeUntilSlot(state::duration untilAnchor, double perSecond, host_share share,
    std::optional<state::time_point> lastUsed, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
