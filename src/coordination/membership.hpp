#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/peer_messaging.hpp"
#include "state/peer_table.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Time without a message after which the reported loads of a peer in this node's data centre are discarded.
inline constexpr state::duration localLoadExpiry = std::chrono::seconds { 3 };
/// The same timeout for a peer in another data centre, which sends heartbeats less often.
inline constexpr state::duration remoteLoadExpiry = std::chrono::seconds { 10 };
/// Time since the last message within which a peer is considered alive.
inline constexpr state::duration livenessTimeout = std::chrono::seconds { 3 };
/// How long a host that a listed peer has introduced remains a peer unless it is introduced again.
inline constexpr state::duration introductionExpiry = std::chrono::seconds { 30 };
/// Maximum number of hosts that are peers only because listed peers have introduced them.
inline constexpr std::size_t maxIntroducedPeers = 32;

/// Applies a message received from another node, or drops and counts it.
/// \details The sender's id and address must both match a known peer. A message is dropped if its incarnation is lower
/// than the last one, or if its sequence number is not higher than the last one of the same incarnation. A higher
/// incarnation means that the host was replaced or restarted; all state received from it before is discarded.
///
/// A listed peer may introduce a host that is not yet in this node's list of entry hosts. Such a host receives the same
/// messages as other peers, and its loads, conditions and revisions are applied. It holds no permits, is not counted
/// when a budget is divided, and can't introduce other hosts. It is removed once it is no longer introduced.
void handlePeerMessage(node& self, const peer_message_received& received, state::time_point now, effect_list& effects);

/// Counts a datagram that could not be decoded.
void handleDatagramRejected(node& self, const datagram_rejected& rejected);

/// Discards the loads of peers whose timeout has expired, and removes introduced hosts that have expired.
void expirePeers(node& self, state::time_point now);

/// Updates the peer table to match the platform's list of entry hosts.
void applyEntryHosts(node& self, const state::fleet_settings& settings, state::time_point now);

/// Whether a message from the peer was received within `livenessTimeout`.
[[nodiscard]] bool isAlive(const state::peer_record& peer, state::time_point now) noexcept;

} // namespace acaciaslip::coordination
