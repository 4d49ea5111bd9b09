#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/fleet_settings.hpp"

namespace acaciaslip::coordination {

/// Deals the slots of every server out to the live entry hosts of its data centre, as evenly as can be.
///
/// A node fills the slots that were dealt to it before it borrows others'. All nodes deal alike from one list, so that
/// their picks seldom meet on a slot although none knows what the others do within milliseconds. A permit is a
/// preference and no lock: lists that differ cost a wait, never a promise. A data centre without entry hosts has its
/// slots dealt to all of them.
void dealSlotPermits(node& self, const state::fleet_settings& settings);

} // namespace acaciaslip::coordination
