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

/// What a peer was last told of our load on one server.
struct told_load {
    std::uint32_t inFlight = 0;
    std::uint32_t repeatsLeft = 0; ///< how often a load that fell to zero is still to be told again
    time_point at;
};

/// A condition change that a peer is still to be told.
struct condition_to_tell {
    condition_change change;
    std::uint32_t sendsLeft = 0; ///< told more than once, since datagrams get lost
};

/// What a peer has been told, and when it is told next.
struct peer_outbox {
    time_point nextTellAt; ///< of the next heartbeat, for a peer of our data centre
    time_point nextFullAt; ///< when it is next told revisions and recently listed hosts unasked
    std::vector<told_load> loads; ///< by server index
    std::size_t nextLoad = 0; ///< where the next message begins, so that every server gets its turn
    std::size_t nextCondition = 0; ///< likewise for conditions that are repeated
    std::size_t nextIntroduction = 0; ///< likewise for recently listed hosts
    std::vector<condition_to_tell> conditions;
    bool urgentConditions = false; ///< some condition was never told
    std::uint32_t revisionSendsLeft = 0; ///< how often changed revisions are still to be told
    bool urgentRevisions = false; ///< changed revisions were never told
};

/// Another entry host as this node sees it.
struct peer_record {
    host_id id;
    std::string address; ///< "ip:port", UDP and TCP
    data_centre_id dataCentre;
    bool near = false; ///< in our data centre
    bool listed = false; ///< in the platform's list
    time_point listedSince;
    time_point vouchedUntil; ///< for a host that only a listed peer has told of
    bool listedLeaving = false; ///< by the list
    bool leaving = false; ///< by the list or by its own word
    std::uint64_t incarnation = 0; ///< 0: never heard
    std::uint64_t sequence = 0; ///< of the newest message taken
    std::optional<time_point> heardAt;
    bool hasLoads = false; ///< its loads count in our picture
    std::map<value_key, revision> revisions; ///< what it last said it has
    peer_outbox outbox;
};

/// Every other entry host, by id.
using peer_table = std::map<host_id, peer_record>;

} // namespace acaciaslip::state
