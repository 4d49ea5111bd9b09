#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Works out which servers this node reads, and how often, after the lists have changed.
/// \details A server with a budget of b probes a second is read by floor(b) nodes, at least one: the first of the
/// *listed* entry hosts by rendezvous hash of (server, host). Each leaves at least a second between its probes, 1/b
/// seconds when b is below 1. So no window of 1 s holds more than b probes of a server (one, when b is below 1),
/// however many nodes there are and whomever they hear: a partition changes nothing. There is no floor to a node's
/// share, since any floor would break the total.
///
/// A node that takes up a server waits `probeHandover` first, in which those that read it before have seen the newer
/// list. A node that acts on a list older than that adds at most its own share: one probe an interval. A new
/// process starts with no probe saved up, and after a pause sends one probe, not those it missed.
void assignProbes(node& self, state::time_point now);

/// Reads a server's health or load endpoint if this node is to and it is time.
/// \details Every second reading is left out while answers of a warm server measure it anyhow. What is read is told
/// to peers where it matters: a new boot id, draining, cold.
void probeIfDue(
    node& self, state::server_record& server, state::time_point now, random_generator& random, effect_list& effects);

/// How long a node that takes up a server waits before its first probe.
inline constexpr state::duration probeHandover = std::chrono::seconds { 5 };

} // namespace acaciaslip::coordination
