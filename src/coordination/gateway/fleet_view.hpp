#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Merges an update of the published fleet. Newer items change the servers, services and configuration in use.
void applyFleetUpdate(
    gateway_node& self, const fleet_update_received& published, state::time_point now, effect_list& effects);

/// Applies the store's data again when a restoration is over; see `store_restoration.hpp`.
void processRestoration(gateway_node& self, state::time_point now, effect_list& effects);

/// Handles an outage of the store. Entries that expire during it may reappear when the store recovers.
void handleStoreLost(gateway_node& self, const store_lost& lost, state::time_point now, effect_list& effects);

/// Handles the recovery of the store.
void handleStoreRecovered(gateway_node& self, state::time_point now, effect_list& effects);

/// Records that the store was unavailable until now, as seen by this node or a peer. Missing entries may reappear.
void extendStoreRecovery(gateway_node& self, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
