#pragma once

#include "state/identifiers.hpp"
#include "state/peer_message.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::state {

/// Load of this node on one server as last sent to a peer.
struct sent_load {
    std::uint32_t inFlight = 0;
    std::uint32_t resendsLeft = 0; ///< remaining resends of a load that dropped to zero
    time_point sentAt; ///< when it was last sent
};

/// A condition change that is still to be sent to a peer.
struct pending_condition {
    condition_change change;
    std::uint32_t sendsLeft = 0; ///< remaining sends; more than one because datagrams may be lost
};

/// What has been sent to a peer, and when the next message is due.
struct peer_outbox {
    time_point nextHeartbeatAt; ///< when the next heartbeat is due; only for peers in this node's data centre
    time_point
        nextFullHeartbeatAt; ///< when the next unsolicited message with revisions and recently listed hosts is due
    std::vector<sent_load> loads; ///< last sent loads, by server index
    std::size_t nextLoad = 0; ///< first server of the next message; round robin, so that no server is skipped
    std::size_t nextCondition = 0; ///< same for resent conditions
    std::size_t nextIntroduction = 0; ///< same for recently listed hosts
    std::vector<pending_condition> pendingConditions; ///< changes still to be sent
    bool hasUnsentConditions = false; ///< some of `pendingConditions` have never been sent
    std::uint32_t revisionSendsLeft = 0; ///< remaining sends of changed revisions
    bool hasUnsentRevisions = false; ///< changed revisions have never been sent
};

/// State that this node keeps about another entry host.
struct peer_record {
    host_id id;
    std::string address; ///< "ip:port", UDP and TCP
    data_centre_id dataCentre;
    bool sameDataCentre = false; ///< in this node's data centre
    bool listed = false; ///< in the platform's host list
    time_point listedSince; ///< when this node first saw it listed
    time_point introducedUntil; ///< expiry of a host that is not listed but was introduced by a listed peer
    bool listedLeaving = false; ///< marked as leaving in the host list
    bool leaving = false; ///< marked as leaving in the host list or in its own messages
    std::uint64_t incarnation = 0; ///< 0: no message received yet
    std::uint64_t sequence = 0; ///< of the newest accepted message
    std::optional<time_point> receivedAt; ///< when the newest message was accepted
    bool loadsIncluded = false; ///< its reported loads are included in the load estimates
    std::map<value_key, revision> revisions; ///< its revisions according to its messages
    peer_outbox outbox;
};

/// All other known entry hosts, by id.
using peer_table = std::map<host_id, peer_record>;

} // namespace acaciaslip::state
