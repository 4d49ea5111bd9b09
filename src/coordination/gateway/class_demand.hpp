#pragma once

#include "coordination/gateway/node.hpp"

#include <vector>

namespace acaciaslip::coordination::gateway {

/// Pattern: each of 100 hosts sees a few urgent requests a second; only their sum says how many slots they need.
///
/// Each host tells the demand of its request classes in its heartbeats. As a host receives heartbeats of a few hosts at
/// a time, the demand of the fleet is the mean of the reports times the number of hosts.

/// Time after which a host's report no longer counts.
inline constexpr state::duration classDemandLifetime = std::chrono::seconds { 10 };

/// The largest demands of this host's classes, without those to which no other class gives way.
/// \return empty if no service has priorities
[[nodiscard]] std::optional<std::vector<state::gateway::class_demand>> collectClassDemand(
    const gateway_node& self, state::time_point now);

/// Upper bound of the encoded size of a report in bytes.
[[nodiscard]] std::size_t countBytes(const std::vector<state::gateway::class_demand>& demands) noexcept;

/// Stores the report in a peer's heartbeat.
void adoptClassDemand(
    state::gateway::peer_state& peer, const state::gateway::peer_heartbeat& message, state::time_point now);

/// Slots that all requests of a class use on average, over all servers and hosts. While no other host has reported
/// anything, only this host's requests count.
[[nodiscard]] double estimateFleetDemand(const gateway_node& self, std::string_view service,
    const state::gateway::request_class& known, state::time_point now);

/// Estimates the demand of the classes of a service again if the last estimate is not recent.
void refreshFleetDemand(gateway_node& self, std::string_view service, state::time_point now);

} // namespace acaciaslip::coordination::gateway
