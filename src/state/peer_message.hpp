#pragma once

#include "state/identifiers.hpp"
#include "state/server_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciaslip::state {

/// How many requests the sender has in flight on one server.
struct load_delta {
    host_id server;
    std::uint32_t inFlight = 0;
};

/// What the sender has just read from a server's health endpoint.
enum class told_health {
    unread, ///< the sender has not read it lately
    working,
    draining,
};

/// A server's condition changed at the sender.
struct condition_change {
    host_id server;
    server_condition condition = server_condition::cold;
    std::uint32_t limit = 1;
    std::string boot; ///< the server's boot id that this speaks of; empty when unknown
    told_health health = told_health::unread;
    std::uint64_t epoch = 0; ///< rises with every collapse; news of a lower one is void
};

/// The newest revision of a value that the sender has in force.
struct value_revision {
    value_key key;
    revision number = 0;
};

/// One datagram between nodes.
struct peer_message {
    host_id from;
    std::uint64_t incarnation = 0; ///< rises with each start of the sender
    std::uint64_t sequence = 0; ///< rises with each message of an incarnation
    data_centre_id dataCentre;
    bool leaving = false;
    std::uint64_t echoIncarnation = 0; ///< the receiver's, as the sender last heard it; 0: never heard
    std::uint64_t echoSequence = 0; ///< the newest of the receiver's messages that the sender has taken
    std::vector<load_delta> loads;
    std::vector<condition_change> conditions;
    std::vector<value_revision> revisions;
    std::vector<host_id> heard; ///< peers the sender hears now
};

} // namespace acaciaslip::state
