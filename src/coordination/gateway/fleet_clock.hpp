#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// A clock that all hosts share without a time service. The time of day may jump on any host, and each host's steady
/// clock starts at another moment; heartbeats therefore carry the sender's fleet time, and every host follows the one
/// that is ahead. All hosts then agree to within the network's delay. A host that starts adopts the fleet's time.

/// The fleet's time; empty until it is known.
[[nodiscard]] std::optional<state::time_point> fleetTime(const gateway_node& self, state::time_point now) noexcept;

/// Follows the time in another host's heartbeat if it is ahead.
void adoptFleetTime(gateway_node& self, std::optional<state::time_point> heard, state::time_point now) noexcept;

/// Starts the clock of a fleet in which no other host has a time.
void startFleetClock(gateway_node& self, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
