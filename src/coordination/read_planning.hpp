#pragma once

#include "coordination/distribution_state.hpp"
#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Sustained rate of calls to the platform by all listed entry hosts together, in calls per second.
inline constexpr double fleetCallsPerSecond = 1000;
/// Burst of calls to the platform by all listed entry hosts together. Burst and rate together stay below 2,000 calls in
/// any second.
inline constexpr double fleetCallBurst = 800;
/// Minimum burst of one node, in calls.
inline constexpr double minCallBurst = 2;
/// Number of entry hosts assumed until a list is known.
inline constexpr double assumedEntryHosts = 512;
/// Number of nodes in each data centre that watch the platform.
inline constexpr std::size_t watchersPerDataCentre = 2;
/// How long the platform may hold a watch (long poll) open.
inline constexpr state::duration watchTimeout = std::chrono::seconds { 5 };
/// Mean interval between the safety reads of a node that does not watch the platform.
inline constexpr state::duration safetyInterval = std::chrono::seconds { 30 };

/// Starts the reads that are due, from the platform or from peers.
/// \details A few nodes in each data centre watch the platform. The others learn of new revisions from heartbeats. They
/// read the bodies from peers first and then from the platform, with jittered exponential backoff. Calls to the
/// platform are limited by a token bucket; its rate and burst are the fleet's divided by the number of listed entry
/// hosts.
void startDueReads(node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Removes an outstanding read that was answered.
/// \return the purpose of the read; nothing if there is no such read
std::optional<read_purpose> finishRead(node& self, const value_received& received);

/// Schedules the next read after one that returned no newer revision.
void handleUnchangedRead(node& self, const state::value_key& key, std::optional<read_purpose> purpose,
    state::value_source source, state::time_point now, random_generator& random);

/// Schedules the next read after one that failed.
void handleValueReadFailed(
    node& self, const value_read_failed& failed, state::time_point now, random_generator& random);

/// Starts reads from the platform for the index and every well-known key that the index does not name.
/// \return number of reads started, as far as the token bucket allows
std::size_t readDirectKeys(node& self, read_purpose purpose, state::time_point now, effect_list& effects);

/// Whether this node is one of those that watch the platform for its data centre.
/// \details Watchers are chosen by rendezvous hashing over the listed, live hosts that are not leaving. A node with no
/// live peers is a watcher itself.
[[nodiscard]] bool isWatcher(const node& self, state::time_point now);

} // namespace acaciaslip::coordination
