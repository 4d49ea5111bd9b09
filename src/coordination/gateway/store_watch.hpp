#pragma once

#include "coordination/gateway/node.hpp"

#include <optional>

namespace acaciaslip::coordination::gateway {

/// The number of calls to the store must grow with the number of data centres, not of hosts. A few hosts of each data
/// centre therefore watch the store and relay changes to the others. There is no election: a host watches the store
/// unless it receives heartbeats from its data centre showing that the store answers another one. Of several such
/// hosts, the one with the lowest address remains.
///
/// The store may answer a few hosts only, and any host may be one of them. While it answers no watcher of the data
/// centre, every host therefore searches: it asks the store once within `searchSpread` and again once in each stable
/// window. Few of them keep trying in between.

/// Longest time for which a watcher may go without an answer of the store. A connection may fall silent without an
/// error at the moment of a change, for the watchers of all data centres at once, so the silence and the relay to all
/// hosts together must fit into the time within which a change takes effect.
[[nodiscard]] state::duration maxStoreSilence(const fleet_limits& limits) noexcept;

/// Whether this node watches the store, for its heartbeats.
[[nodiscard]] state::gateway::store_access findStoreAccess(const gateway_node& self) noexcept;

/// Handles the first answer of the store since this node began to watch it, or since the store was lost.
void handleStoreAnswered(gateway_node& self, state::time_point now, effect_list& effects);

/// Handles the loss of the store by this node's watch or search.
void handleStoreUnanswered(gateway_node& self, const store_lost& lost, state::time_point now, effect_list& effects);

/// Handles a change of what a peer reports about the store: if it no longer answers a watcher of the own data centre,
/// the search for a host that it answers begins at once.
void handlePeerStoreAccess(gateway_node& self, const state::gateway::peer_state& before,
    const state::gateway::peer_heartbeat& message, state::time_point now) noexcept;

/// Starts or stops watching the store, and informs the own data centre while this node watches it.
void updateStoreWatch(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects);

/// When `updateStoreWatch` is next due.
[[nodiscard]] state::time_point nextStoreWatchStep(const gateway_node& self) noexcept;

/// Relays a change from the store to the own data centre and to one host of each other data centre.
void relayChanges(gateway_node& self, const state::gateway::fleet_delta& delta, state::time_point now,
    random_generator& random, effect_list& effects);

/// Relays a change received from a peer to the own data centre, unless another host there is known to have it.
void forwardChanges(gateway_node& self, const state::gateway::fleet_delta& delta, state::time_point now,
    random_generator& random, effect_list& effects);

/// Sends a heartbeat to all hosts of the own data centre.
/// \param delta changes to relay with it; without them the heartbeat announces the revision only
void notifyDataCentre(gateway_node& self, const std::optional<state::gateway::fleet_delta>& delta,
    state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
