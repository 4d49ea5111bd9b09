#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/peer_budget.hpp"
#include "state/peer_table.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// State of a node's outgoing datagrams that is not specific to one peer.
struct peer_messaging_state {
    byte_bucket bytes;
    state::time_point nextRemoteAt; ///< time of the next heartbeat to a peer in another data centre
    state::host_id lastRemote; ///< peer that received the last such heartbeat; the next one is chosen round robin
    bool hasUrgentUpdates = false; ///< urgent updates are pending for at least one peer
    state::time_point nextExpiryCheckAt; ///< time of the next check for expired peers
};

/// Sends the datagrams that are due: urgent updates first, then heartbeats with the loads that changed.
/// \details Peers in this node's data centre get heartbeats as often as the byte budget allows, other peers less often.
/// Whatever exceeds the budget is sent by a later call.
void sendDueMessages(node& self, state::time_point now, effect_list& effects);

/// Sends a server's new condition to all peers immediately, within the bytes reserved for urgent messages.
void broadcastConditionChange(
    node& self, const state::condition_change& change, state::time_point now, effect_list& effects);

/// Sends the changed revisions to the peers in this node's data centre immediately; other peers get them with a
/// heartbeat.
void broadcastRevisionChange(node& self, state::time_point now, effect_list& effects);

/// Requests the current revisions from a few peers. Peers that are alive come first, then those in this node's data
/// centre.
/// \param queryId identifies the request; replies repeat it
/// \return number of peers to which the request was sent
std::size_t queryPeers(
    node& self, std::uint64_t queryId, state::time_point now, random_generator& random, effect_list& effects);

/// Replies to a peer's request with the current revisions.
void replyToPeer(
    node& self, const state::peer_record& peer, std::uint64_t queryId, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
