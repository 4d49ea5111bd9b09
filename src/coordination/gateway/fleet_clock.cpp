#include "coordination/gateway/fleet_clock.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// In a running fleet, a starting host receives the first heartbeat within this time.
constexpr state::duration adoptionTime = std::chrono::seconds { 1 };

} // namespace

std::optional<state::time_point> fleetTime(const gateway_node& self, state::time_point now) noexcept
{
    return self.clock.offset ? std::optional { now + *self.clock.offset } : std::nullopt;
}

void adoptFleetTime(gateway_node& self, std::optional<state::time_point> heard, state::time_point now) noexcept
{
    if (heard)
        self.clock.offset = std::max(self.clock.offset.value_or(state::duration::min()), *heard - now);
}

void startFleetClock(gateway_node& self, state::time_point now) noexcept
{
    if (!self.clock.offset && now - self.membership.startedAt >= adoptionTime)
        self.clock.offset = -self.membership.startedAt.time_since_epoch();
}

} // namespace acaciaslip::coordination::gateway
