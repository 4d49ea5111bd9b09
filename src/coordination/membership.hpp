#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Takes a datagram of another node, or drops and counts it.
void notePeerMessage(node& self, const peer_message_received& received, state::time_point now, effect_list& effects);

/// Counts a datagram that could not be read.
void noteDatagramRefused(node& self, const datagram_refused& refused);

/// Sends the heartbeats that are due.
void tellPeers(node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Tells every peer of a server's condition at once.
void tellConditionChange(
    node& self, const state::condition_change& change, state::time_point now, effect_list& effects);

/// Brings the peer table in line with the platform's list of entry hosts.
void applyEntryHosts(node& self, const state::fleet_settings& settings, state::time_point now);

} // namespace acaciaslip::coordination
