#pragma once

#include "state/identifiers.hpp"
#include "state/server_record.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciaslip::state {

/// Short form of a server id, used in datagrams to save space.
using server_tag = std::uint32_t;

/// Number of requests that the sender has in flight on one server.
struct load_delta {
    server_tag server = 0;
    std::uint32_t inFlight = 0;

    [[nodiscard]] bool operator==(const load_delta&) const = default;
};

/// Health of a server according to the sender's own recent health check.
enum class observed_health {
    unread, ///< the sender has made no recent health check
    working,
    draining,
};

inline constexpr std::array<enum_name<observed_health>, 3> observedHealthNames { {
    { observed_health::unread, "unread" },
    { observed_health::working, "working" },
    { observed_health::draining, "draining" },
} };

/// A change of a server's condition at the sender.
struct condition_change {
    host_id server;
    server_condition condition = server_condition::cold;
    std::uint32_t limit = 1; ///< concurrent requests over all nodes, while cold
    std::string bootId; ///< boot id of the server process that the change applies to; empty when unknown
    observed_health health = observed_health::unread;
    /// Incremented when the server is reset to cold; receivers ignore changes of a lower epoch.
    std::uint64_t epoch = 0;

    [[nodiscard]] bool operator==(const condition_change&) const = default;
};

/// The newest revision of a published value at the sender.
struct value_revision {
    value_key key;
    revision number = 0;

    [[nodiscard]] bool operator==(const value_revision&) const = default;
};

/// An entry host from the sender's host list, sent because the receiver's list may be out of date.
struct introduced_host {
    host_id id;
    std::string address; ///< "ip:port", UDP and TCP
    data_centre_id dataCentre;

    [[nodiscard]] bool operator==(const introduced_host&) const = default;
};

/// One datagram between nodes.
struct peer_message {
    host_id sender;
    std::uint64_t incarnation = 0; ///< increases with each start of the sender
    std::uint64_t sequence = 0; ///< increases with each message of an incarnation
    bool leaving = false; ///< the sender is stopping
    std::uint64_t echoIncarnation = 0; ///< newest incarnation of the receiver that the sender has received; 0: none
    std::uint64_t echoSequence = 0; ///< newest sequence number of the receiver that the sender has accepted
    std::uint64_t queryId = 0; ///< not 0: the receiver must reply at once with all relevant revisions
    std::uint64_t queryReplyTo = 0; ///< not 0: the `queryId` of the message that this one replies to
    std::vector<load_delta> loads;
    std::vector<condition_change> conditions;
    std::vector<value_revision> revisions;
    std::vector<introduced_host> introduced;

    [[nodiscard]] bool operator==(const peer_message&) const = default;
};

} // namespace acaciaslip::state
