#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/fleet_settings.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Puts checked settings in force: services, servers, data centres out, entry hosts.
/// \details Indexes of services and servers stay. A server seen for the first time, and every server of a data
/// centre that returns, starts cold.
void applySettings(node& self, const state::fleet_settings& settings, state::time_point now);

} // namespace acaciaslip::coordination
