#pragma once

#include "coordination/gateway/request_slots.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination::gateway {

/// When many servers of a service restart at once, all of them are cold, and without coordination every host would send
/// to them in the same second. Instead each host has its own time slots, counted backwards from the moment at which the
/// server is warm, which is the same on all hosts. Unused slots expire.
///
/// \param coldUntil when the server is warm
/// \param perSecond requests per second that the cold server can handle, over all hosts
/// \param lastUsed when this host last sent a request to the cold server
/// \return whether this host may send one request now
[[nodiscard]] bool mayUseColdSlot(state::time_point coldUntil, double perSecond, host_share share,
    std::optional<state::time_point> lastUsed, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
