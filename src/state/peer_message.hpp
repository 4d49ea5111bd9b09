#pragma once

#include "state/identifiers.hpp"
#include "state/server_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciaslip::state {

/// A server's id in the short form that datagrams carry.
using server_tag = std::uint32_t;

/// How many requests the sender has in flight on one server.
struct load_delta {
    server_tag server = 0;
    std::uint32_t inFlight = 0;

    [[nodiscard]] bool operator==(const load_delta&) const = default;
};

/// A server's condition changed at the sender.
struct condition_change {
    host_id server;
    server_condition condition = server_condition::cold;
    std::uint32_t limit = 1;
    std::string boot; ///< the server's boot id that this speaks of; empty when unknown

    [[nodiscard]] bool operator==(const condition_change&) const = default;
};

/// The newest revision of a value that the sender has.
struct value_revision {
    value_key key;
    revision number = 0;

    [[nodiscard]] bool operator==(const value_revision&) const = default;
};

/// An entry host that the sender's list has, for a receiver whose list may lag.
struct introduced_host {
    host_id id;
    std::string address; ///< "ip:port", UDP and TCP
    data_centre_id dataCentre;

    [[nodiscard]] bool operator==(const introduced_host&) const = default;
};

/// One datagram between nodes.
struct peer_message {
    host_id from;
    std::uint64_t incarnation = 0; ///< rises with each start of the sender
    std::uint64_t sequence = 0; ///< rises with each message of an incarnation
    bool leaving = false;
    std::uint64_t question = 0; ///< not 0: answer at once with every revision that matters
    std::uint64_t answerTo = 0; ///< not 0: the question that this answers
    std::vector<load_delta> loads;
    std::vector<condition_change> conditions;
    std::vector<value_revision> revisions;
    std::vector<introduced_host> introduced;

    [[nodiscard]] bool operator==(const peer_message&) const = default;
};

} // namespace acaciaslip::state
