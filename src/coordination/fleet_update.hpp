#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/fleet_settings.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Applies validated settings: services, servers, evacuated data centres and entry hosts.
/// \details Indexes of services and servers remain valid. A server that is new, and every server of a data centre that
/// returns from evacuation, starts cold.
void applySettings(node& self, const state::fleet_settings& settings, state::time_point now);

} // namespace acaciaslip::coordination
