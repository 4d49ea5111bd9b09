#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: many hosts want the same large change at once, over thin links.
///
/// After a change every host of a data centre fetches it from the host that watches the store. If the change is large,
/// copies for all of them at once are each too slow to be of use. A host therefore sends large answers to two hosts at
/// a time and lets the others wait. When a host has received its copy, half of those that wait are redirected to it, so
/// that the number of hosts with the change grows exponentially.

/// Answers a fetch at once, or lets it wait for its turn.
void handleFetchRequested(
    gateway_node& self, const fetch_requested& requested, state::time_point now, effect_list& effects);

/// Handles the end of a peer's connection: its answer has been received, or it has given up.
void handleFetchServed(gateway_node& self, const fetch_served& served, state::time_point now, effect_list& effects);

/// Gives the turn of hosts that receive too slowly to others.
void processServing(gateway_node& self, state::time_point now, effect_list& effects);

/// When `processServing` is next due; empty while no host waits.
[[nodiscard]] std::optional<state::time_point> nextServingStep(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
