#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/peer_telling.hpp"
#include "state/peer_table.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// How long a peer of our data centre may be silent before its loads no longer count.
inline constexpr state::duration nearLoadExpiry = std::chrono::seconds { 3 };
/// Likewise for a peer of another data centre, which speaks seldom.
inline constexpr state::duration farLoadExpiry = std::chrono::seconds { 10 };
/// How long a peer may be silent and still count as heard.
inline constexpr state::duration heardWithin = std::chrono::seconds { 3 };
/// How long a host that a listed peer tells of is taken for a peer, unless told of again.
inline constexpr state::duration vouchingLasts = std::chrono::seconds { 30 };
/// The most hosts that are peers only because listed peers tell of them.
inline constexpr std::size_t maxVouched = 32;

/// Takes a datagram of another node, or drops and counts it.
/// \details Both the sender's id and the address must be those of a peer. A lower incarnation, and a sequence that is
/// not above the last, are dropped; a higher incarnation is a replaced host, of which nothing is kept.
///
/// A listed peer may vouch for a host that our list does not have yet. Such a host is told what peers are told, and
/// its loads, conditions and revisions are taken; it holds no permits, has no part in any budget's division, does not
/// vouch for others, and is forgotten when nobody tells of it any more.
void notePeerMessage(node& self, const peer_message_received& received, state::time_point now, effect_list& effects);

/// Counts a datagram that could not be read.
void noteDatagramRefused(node& self, const datagram_refused& refused);

/// Drops the loads of peers that have gone silent, and the hosts that nobody vouches for any more.
void forgetSilentPeers(node& self, state::time_point now);

/// Brings the peer table in line with the platform's list of entry hosts.
void applyEntryHosts(node& self, const state::fleet_settings& settings, state::time_point now);

/// Whether a peer has been heard lately.
[[nodiscard]] bool isHeard(const state::peer_record& peer, state::time_point now) noexcept;

} // namespace acaciaslip::coordination
