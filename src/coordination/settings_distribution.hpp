#pragma once

#include "coordination/distribution_state.hpp"
#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/peer_table.hpp"
#include "state/time.hpp"

#include <string_view>
#include <vector>

namespace acaciaslip::coordination {

/// How long a starting node waits for the newest settings before it serves with the settings that it has.
inline constexpr state::duration startTimeout = std::chrono::seconds { 3 };

/// Processes a published value that was read. A higher revision that validates is activated; otherwise the last valid
/// one stays active.
/// \details Revisions never decrease. Values that depend on each other arrive one by one. A value that does not
/// validate alone is therefore validated together with other rejected values, and again whenever another value changes.
void handleValue(
    node& self, const value_received& received, state::time_point now, random_generator& random, effect_list& effects);

/// Answers another node's request for a value with the newest body that this node has, active or rejected.
void serveValue(node& self, const value_requested& requested, effect_list& effects);

/// Records the revisions that a peer has reported.
void applyPeerRevisions(
    node& self, state::peer_record& peer, const state::peer_message& message, state::time_point now);

/// The revisions that this node reports to peers: those of the index and of the well-known keys that the index does not
/// name. All other revisions follow from the index.
/// \details Rejected revisions are included, because every node validates for itself and reports the reason to its
/// operators.
[[nodiscard]] std::vector<state::value_revision> listRevisions(const node& self);

/// Whether a value is read without being named by the index: the index itself, and well-known keys that it omits.
[[nodiscard]] bool isDirect(const node& self, std::string_view key);

/// The highest revision whose body this node has, active or rejected; 0 if none.
[[nodiscard]] state::revision heldRevision(const node& self, const state::value_key& key);

/// Whether a revision higher than the one held is known to exist.
[[nodiscard]] bool isOutdated(const node& self, const state::value_key& key);

/// Whether such a revision is known to exist for any value.
[[nodiscard]] bool isAnyOutdated(const node& self);

/// Ends the starting phase once every known revision has been read, or after `startTimeout` if any services are known.
void finishStartWhenReady(node& self, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
