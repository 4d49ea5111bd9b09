#pragma once

#include "coordination/node.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::protocol {

/// A server's record, and what the node makes of it.
struct server_snapshot {
    state::server_record record;
    bool candidate = false; ///< may be given new work at all
    std::uint32_t allowance = 0; ///< requests that this node may have in flight while the server is cold
    double probesAllowed = 0; ///< a second, by this node
};

/// A service's record without its settings' history.
struct service_snapshot {
    state::service_settings settings;
    bool active = false;
    std::size_t members = 0;
    std::size_t waiting = 0;
    double retryTokens = 0;
    double hedgeTokens = 0;
};

/// A published value without its text.
struct value_snapshot {
    state::value_key key;
    state::revision number = 0;
    state::value_source source = state::value_source::platform;
    state::time_point receivedAt;
    std::size_t bytes = 0;
    std::optional<state::revision> refused;
    state::time_point refusedAt;
    std::string refusedBecause;
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
    std::optional<state::time_point> heardAt;
};

/// Everything that a node's decisions rest on, copied so that it can be described on another thread.
struct node_snapshot {
    state::time_point takenAt;
    state::node_settings settings;
    std::uint64_t incarnation = 0;
    coordination::node_phase phase = coordination::node_phase::starting;
    state::time_point phaseSince;
    std::optional<state::time_point> suspectSince;
    bool onOldPicture = false; ///< nobody answered after a pause
    state::time_point permitsUntil; ///< end of the lease on permits of cold servers
    std::size_t requestsInProgress = 0;
    std::size_t attemptsInProgress = 0;
    std::size_t entryHosts = 0;
    std::vector<service_snapshot> services;
    std::vector<server_snapshot> servers;
    std::vector<value_snapshot> values;
    std::vector<peer_snapshot> peers;
    coordination::node_counters counters;
};

/// How many servers are copied between two events, so that a decision never waits long for a copy.
inline constexpr std::size_t serversPerCopy = 64;

/// Copies everything but the servers.
[[nodiscard]] node_snapshot copyOverview(const coordination::node& node, state::time_point now);

/// Copies the next few servers.
/// \return whether there are more
bool copyServers(const coordination::node& node, state::time_point now, node_snapshot& snapshot);

/// Copies everything at once.
[[nodiscard]] node_snapshot copyNode(const coordination::node& node, state::time_point now);

} // namespace acaciaslip::protocol
