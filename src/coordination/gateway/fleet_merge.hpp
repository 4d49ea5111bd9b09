#pragma once

#include "state/gateway/published_fleet.hpp"

namespace acaciaslip::coordination::gateway {

/// What a delta changed.
struct merge_result {
    bool applied = false; ///< false: the delta leaves a gap, or is older than what is known
    bool changed = false;
};

/// Merges what was read into what is known. Whatever the source and the order of arrival, the newest revision of each
/// item wins, and a configuration's version never goes back.
merge_result mergeDelta(state::gateway::published_fleet& known, const state::gateway::fleet_delta& delta);

/// Makes what somebody lacks who knows everything up to a revision; a snapshot when that cannot be told any more.
[[nodiscard]] state::gateway::fleet_delta makeDelta(
    const state::gateway::published_fleet& known, state::revision after);

} // namespace acaciaslip::coordination::gateway
