#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/spread_state.hpp"
#include "state/peer_table.hpp"
#include "state/time.hpp"

#include <string_view>
#include <vector>

namespace acaciaslip::coordination {

/// How long a node that has just started waits for the newest settings before it serves with what it has.
inline constexpr state::duration startBound = std::chrono::seconds { 3 };

/// Takes a published value: a higher revision that validates goes in force; the last good one stays otherwise.
/// \details A revision never falls. A value that does not validate alone is tried together with other refused ones,
/// and again whenever another value changes, since values that belong together arrive one by one.
void noteValue(
    node& self, const value_received& received, state::time_point now, random_generator& random, effect_list& effects);

/// Answers another node's request for a value with the newest body known here, in force or not.
void serveValue(node& self, const value_requested& requested, effect_list& effects);

/// Takes the revisions that a peer has.
void notePeerRevisions(node& self, state::peer_record& peer, const state::peer_message& message, state::time_point now);

/// The revisions held here from which all others follow: the index and what it does not name.
/// \details Refused ones too: each node judges by itself, and tells its operators why.
[[nodiscard]] std::vector<state::value_revision> listRevisions(const node& self);

/// Whether a value is read whether or not the index names it.
[[nodiscard]] bool isDirect(const node& self, std::string_view key);

/// The highest revision whose body this node has, in force or refused.
[[nodiscard]] state::revision heldRevision(const node& self, const state::value_key& key);

/// Whether a higher revision is known than is held.
[[nodiscard]] bool isLacking(const node& self, const state::value_key& key);

/// Whether some value that matters is lacking.
[[nodiscard]] bool isAnyLacking(const node& self);

/// Starts to serve once everything known is in force, or after a bounded wait with what there is.
void advanceStart(node& self, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
