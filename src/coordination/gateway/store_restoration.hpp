#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// A store that has been restored from a copy begins a new era. Its data is then some seconds old, until the operators
/// and the servers have written again what they wrote since. In that time this node keeps to what it knew where the
/// copy would do harm: a server that was draining or had left is not used, a data centre that was evacuated stays
/// evacuated, and missing servers stay in use as after an outage. What is written in the new era holds at once.

/// Begins the time in which the copy is not trusted, if an update has brought a new era.
/// \param before revision known before the update
/// \param evacuated data centres that were evacuated before the update
void beginRestoration(gateway_node& self, state::revision before, const std::set<state::data_centre_id>& evacuated,
    state::time_point now, effect_list& effects);

/// Whether what the copy says of a server must not be used: it had left before the store was restored.
[[nodiscard]] bool hasDepartedBeforeCopy(
    const gateway_node& self, const state::gateway::server_entry& entry, state::revision number, state::time_point now);

/// Whether a server must be taken as draining although the copy says that it is ready.
[[nodiscard]] bool isDrainingBeforeCopy(const gateway_node& self, const state::gateway::server_state& known,
    const state::gateway::server_entry& entry, state::revision number, state::time_point now) noexcept;

/// Whether a data centre is evacuated, by the store's data or by what was known before the store was restored.
[[nodiscard]] bool isEvacuated(const gateway_node& self, const state::data_centre_id& dataCentre);

/// Remembers a server that has left.
void recordDeparture(gateway_node& self, const state::gateway::server_entry& entry, state::time_point now);

/// Ends the restoration when its time is over.
/// \return whether the store's data must be applied again
[[nodiscard]] bool endRestoration(gateway_node& self, state::time_point now);

} // namespace acaciaslip::coordination::gateway
