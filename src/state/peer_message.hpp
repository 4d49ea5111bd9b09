#pragma once

#include "state/identifiers.hpp"
#include "state/server_record.hpp"

#include <array>
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

/// What the sender has just read from a server's health endpoint.
enum class told_health {
    unread, ///< the sender has not read it lately
    working,
    draining,
};

inline constexpr std::array<enum_name<told_health>, 3> toldHealthNames { {
    { told_health::unread, "unread" },
    { told_health::working, "working" },
    { told_health::draining, "draining" },
} };

/// A server's condition changed at the sender.
struct condition_change {
    host_id server;
    server_condition condition = server_condition::cold;
    std::uint32_t limit = 1;
    std::string boot; ///< the server's boot id that this speaks of; empty when unknown
    told_health health = told_health::unread;
    std::uint64_t epoch = 0; ///< rises with every collapse; news of a lower one is void

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
    std::uint64_t echoIncarnation = 0; ///< the receiver's, as the sender last heard it; 0: never heard
    std::uint64_t echoSequence = 0; ///< the newest of the receiver's messages that the sender has taken
    std::uint64_t question = 0; ///< not 0: answer at once with every revision that matters
    std::uint64_t answerTo = 0; ///< not 0: the question that this answers
    std::vector<load_delta> loads;
    std::vector<condition_change> conditions;
    std::vector<value_revision> revisions;
    std::vector<introduced_host> introduced;

    [[nodiscard]] bool operator==(const peer_message&) const = default;
};

} // namespace acaciaslip::state
