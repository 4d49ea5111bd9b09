#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/peer_budget.hpp"
#include "state/peer_table.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// What governs a node's datagrams as a whole.
struct telling_state {
    byte_bucket bytes;
    state::time_point nextFarAt; ///< of the next heartbeat to a peer of another data centre
    state::host_id lastFar; ///< who had the last one; they take turns
    bool hasUrgentNews = false; ///< some peer is still to be told urgent news
    state::time_point nextSweepAt; ///< when silent peers are next looked for
};

/// Sends the datagrams that are due: urgent news first, then heartbeats with the loads that changed.
/// \details Near peers hear as often as the bytes allow, others seldom. What does not fit waits for the next call.
void tellPeers(node& self, state::time_point now, effect_list& effects);

/// Tells every peer of a server's condition at once, as far as the bytes kept for urgent news allow.
void tellConditionChange(
    node& self, const state::condition_change& change, state::time_point now, effect_list& effects);

/// Tells the peers of our data centre at once that a revision is in force here; others hear it with a heartbeat.
void tellRevisionChange(node& self, state::time_point now, effect_list& effects);

/// Asks a few peers for every revision that matters; heard ones and those of our data centre go first.
/// \return how many were asked
std::size_t askPeers(
    node& self, std::uint64_t question, state::time_point now, random_generator& random, effect_list& effects);

/// Answers a peer's question with every revision that matters.
void answerPeer(
    node& self, const state::peer_record& peer, std::uint64_t question, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
