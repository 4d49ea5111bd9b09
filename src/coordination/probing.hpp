#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Determines which servers this node probes, and how often, after the lists have changed.
/// \details A server with a budget of b probes per second is probed by floor(b) nodes, but at least one: the first of
/// the *listed* entry hosts by rendezvous hash of (server, host). Each of them waits at least one second between its
/// probes, or 1/b seconds when b is below 1. Hence no window of 1 s contains more than b probes of a server (or one,
/// when b is below 1), however many nodes there are and whichever peers are reachable, so a partition does not change
/// it. A node's share has no minimum, since the sum of the shares could then exceed the budget.
///
/// A node that starts to probe a server first waits for `probeHandoverDelay`, in which the nodes that probed it before
/// receive the newer list. A node with an older list than that adds at most its own share, one probe per interval. A
/// new process starts without accumulated probes, and a node that was paused sends one probe, not those that it missed.
void assignProbes(node& self, state::time_point now);

/// Probes a server's health or load endpoint if the probe is assigned to this node and due.
/// \details Every second probe of a warm server is skipped while responses to requests provide the same information.
/// Results that matter to peers are sent to them: a new boot id, draining and cold.
void probeIfDue(
    node& self, state::server_record& server, state::time_point now, random_generator& random, effect_list& effects);

/// How long a node waits before its first probe of a newly assigned server.
inline constexpr state::duration probeHandoverDelay = std::chrono::seconds { 5 };

} // namespace acaciaslip::coordination
