#pragma once

#include "coordination/node.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::protocol {

/// A server's record and values that the node derives from it.
struct server_snapshot {
    state::server_record record;
    bool eligible = false; ///< eligible for new requests
    std::uint32_t coldAllowance = 0; ///< maximum requests in flight from this node while the server is cold
    double probesPerSecond = 0; ///< probes per second by this node
};

/// A service's settings and current counts.
struct service_snapshot {
    state::service_settings settings;
    bool active = false;
    std::size_t members = 0;
    std::size_t waiting = 0;
    double retryTokens = 0;
    double hedgeTokens = 0;
};

/// Metadata of a published value, without its text.
struct value_snapshot {
    state::value_key key;
    state::revision number = 0;
    state::value_source source = state::value_source::platform;
    state::time_point receivedAt;
    std::size_t bytes = 0;
    std::optional<state::revision> rejected;
    state::time_point rejectedAt;
    std::string rejectionReason;
};

/// Another entry host.
struct peer_snapshot {
    state::host_id id;
    std::string address;
    state::data_centre_id dataCentre;
    bool listed = false;
    bool leaving = false;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::optional<state::time_point> receivedAt;
};

/// Copy of all state that a node's decisions depend on, so that another thread can serialize it.
struct node_snapshot {
    state::time_point copiedAt;
    state::node_settings settings;
    std::uint64_t incarnation = 0;
    coordination::node_phase phase = coordination::node_phase::starting;
    state::time_point phaseSince;
    std::optional<state::time_point> staleSince;
    bool usingStaleState = false; ///< the refresh after a process pause received no answer
    state::time_point permitLeaseExpiresAt; ///< end of the lease on cold-start permits
    std::size_t requestsInProgress = 0;
    std::size_t attemptsInProgress = 0;
    std::size_t entryHosts = 0;
    std::vector<service_snapshot> services;
    std::vector<server_snapshot> servers;
    std::vector<value_snapshot> values;
    std::vector<peer_snapshot> peers;
    coordination::node_counters counters;
};

/// Maximum number of servers copied between two events, to limit the delay of event handling.
inline constexpr std::size_t serversPerCopy = 64;

/// Copies everything except the servers.
[[nodiscard]] node_snapshot copyOverview(const coordination::node& node, state::time_point now);

/// Copies the next batch of at most `serversPerCopy` servers.
/// \return whether more servers remain
bool copyServers(const coordination::node& node, state::time_point now, node_snapshot& snapshot);

/// Copies everything at once.
[[nodiscard]] node_snapshot copyNode(const coordination::node& node, state::time_point now);

} // namespace acaciaslip::protocol
