#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/fleet_settings.hpp"

namespace acaciaslip::coordination {

/// Assigns the slots of every server to the live entry hosts of its data centre, as evenly as possible.
///
/// A node fills its assigned slots before it uses slots assigned to others. All nodes compute the same assignment from
/// the same host list, so they rarely choose the same slot, although load information from other nodes is milliseconds
/// old. An assignment is a preference, not a lock: when host lists differ, requests may have to wait, but no guarantee
/// is violated. If a data centre has no entry hosts, its slots are assigned to the entry hosts of all data centres.
void assignSlots(node& self, const state::fleet_settings& settings);

} // namespace acaciaslip::coordination
