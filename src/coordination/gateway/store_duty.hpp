#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: thundering readers. Calls to the store must grow with data centres, not with hosts, so a few hosts of each
/// data centre follow the store and tell the others. Nobody elects them: a host follows unless it hears from its data
/// centre that a host before it in the order of addresses follows a store that answers, or that some before it try.

/// Whether this node follows the store, for its heartbeats.
[[nodiscard]] state::gateway::store_access findStoreAccess(const gateway_node& self) noexcept;

/// Begins or ends following the store, and tells the own data centre that this node follows.
void advanceStoreDuty(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects);

/// When `advanceStoreDuty` is next due.
[[nodiscard]] state::time_point nextStoreDutyStep(const gateway_node& self) noexcept;

/// Tells the own data centre what has changed in the store, and one host of each other one.
void relayChanges(gateway_node& self, const state::gateway::fleet_delta& delta, state::time_point now,
    random_generator& random, effect_list& effects);

/// Tells the own data centre what another one has told, unless some host of it is known to know.
void passOnChanges(gateway_node& self, const state::gateway::fleet_delta& delta, state::time_point now,
    random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
