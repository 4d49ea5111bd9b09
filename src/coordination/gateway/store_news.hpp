#pragma once

#include "coordination/gateway/node.hpp"

#include <optional>

namespace acaciaslip::coordination::gateway {

/// Pattern: hosts that keep serving while the store, or the link to it, is down, and must not serve removed keys.
///
/// With `strict-revoke`, each host knows when it last heard that the store has nothing newer than what it knows itself.
/// It hears so from the store or from a peer that knows no later revision. Hosts pass the time on in heartbeats, in
/// fleet time, so that a datagram that was held back does not look recent.

/// Whether keys may have been removed that are still in force here. Always false without `strict-revoke`.
[[nodiscard]] bool areKeysOutdated(const gateway_node& self, state::time_point now) noexcept;

/// Time since the keys are outdated; zero if they are not, or have never been current.
[[nodiscard]] state::duration outdatedFor(const gateway_node& self, state::time_point now) noexcept;

/// Records that the store has answered and that its answer has been applied.
void recordStoreNews(gateway_node& self, state::time_point now) noexcept;

/// Records what a peer knows of the store. Peers that know a later revision have no news about the own one.
/// \return whether other hosts of the data centre should be told, because they may have heard nothing for long
[[nodiscard]] bool adoptStoreNews(
    gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now) noexcept;

/// The time to send in heartbeats; empty without `strict-revoke`, or while the fleet's time is unknown.
[[nodiscard]] std::optional<state::time_point> storeNewsForPeers(const gateway_node& self) noexcept;

/// Whether other data centres are now told that the store has nothing newer, for those whose hosts it does not answer.
/// If so, they are next told after a quarter of `revoke`.
[[nodiscard]] bool isStoreNewsDue(gateway_node& self, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
