#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/spread_state.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Calls a second to the platform that all listed entry hosts together allow themselves in the long run.
inline constexpr double fleetCallsPerSecond = 1000;
/// Calls that all listed entry hosts together may make at once; with the former, below 2,000 in any second.
inline constexpr double fleetCallBurst = 800;
/// The least burst of one node.
inline constexpr double leastCallBurst = 2;
/// Entry hosts to reckon with until a list is known.
inline constexpr double assumedEntryHosts = 512;
/// Nodes of one data centre that watch the platform.
inline constexpr std::size_t watchersPerDataCentre = 2;
/// How long the platform may hold a watch.
inline constexpr state::duration watchWait = std::chrono::seconds { 5 };
/// How often, on average, a node that does not watch reads all the same.
inline constexpr state::duration safetyInterval = std::chrono::seconds { 30 };

/// Starts the reads that are due, from the platform or from peers.
/// \details Few nodes of a data centre watch the platform; the others learn of revisions from heartbeats and read the
/// bodies from peers, then from the platform with growing, jittered pauses. Calls to the platform are taken from a
/// bucket that is this node's share by the number of listed entry hosts.
void planReads(node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Ends a read that was answered.
/// \return why it was made; nothing when it was not asked for
std::optional<read_purpose> endRead(node& self, const value_received& received);

/// Plans the next read after one that brought nothing.
void noteNothingRead(node& self, const state::value_key& key, std::optional<read_purpose> purpose,
    state::value_source source, state::time_point now, random_generator& random);

/// Plans the next read after one that failed.
void noteValueReadFailed(node& self, const value_read_failed& failed, state::time_point now, random_generator& random);

/// Reads every value that the index does not name from the platform at once.
/// \return how many reads the bucket allowed
std::size_t readDirectKeys(node& self, read_purpose purpose, state::time_point now, effect_list& effects);

/// Whether this node is one of those that watch the platform for its data centre.
/// \details By rendezvous hash over the hosts that are listed and heard; a node that hears nobody watches itself.
[[nodiscard]] bool isWatcher(const node& self, state::time_point now);

} // namespace acaciaslip::coordination
