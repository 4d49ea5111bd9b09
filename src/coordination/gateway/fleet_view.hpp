#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Takes what was read of the published fleet: what is newer changes the servers, services and configuration in use.
void notePublished(gateway_node& self, const fleet_published& published, state::time_point now, effect_list& effects);

/// Notes that the store stopped answering: entries that lapse meanwhile may come back with it.
void noteStoreLost(gateway_node& self, const store_lost& lost, state::time_point now, effect_list& effects);

/// Notes that the store answers again.
void noteStoreRegained(gateway_node& self, state::time_point now, effect_list& effects);

/// Notes, from this node's or another's view, that the store was away until now: entries that are missing may return.
void noteStoreUnsettled(gateway_node& self, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
