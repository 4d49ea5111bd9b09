#pragma once

#include "state/gateway/published_fleet.hpp"

namespace acaciaslip::coordination::gateway {

/// Effect of merging a delta.
struct merge_result {
    bool applied = false; ///< false: changes before the delta are missing, or it is older than the known state
    bool changed = false;
};

/// Merges a delta into the known state. The newest revision of each item wins, regardless of the source and the order
/// of arrival, and the configuration version never decreases.
merge_result mergeDelta(state::gateway::published_fleet& known, const state::gateway::fleet_delta& delta);

/// Creates the delta for a peer that knows all changes up to a revision, or a snapshot when the removals since then are
/// no longer kept.
[[nodiscard]] state::gateway::fleet_delta makeDelta(
    const state::gateway::published_fleet& known, state::revision after);

} // namespace acaciaslip::coordination::gateway
