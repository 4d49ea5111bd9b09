#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <string>
#include <vector>

namespace acaciaslip::state {

/// Settings of this host, read from its node.yaml.
struct node_settings {
    host_id id;
    data_centre_id dataCentre;
    std::string callerAddress; ///< "ip:port" to listen on for callers
    std::string peerAddress; ///< "ip:port" to listen on for other nodes, UDP and TCP
    std::string operatorAddress; ///< "ip:port" to listen on for operators
    std::vector<std::string>
        platformAddresses; ///< "ip:port" addresses of the platform's configuration service, tried in order
    /// "ip:port" addresses of nodes to read from if the platform is down at the start.
    std::vector<std::string> seedPeers;
    duration lameDuck = std::chrono::seconds { 2 }; ///< time from announcing the stop until new requests are refused
    std::string logLevel = "info";
    /// Obsolete keys, accepted so that settings files of earlier versions remain valid.
    std::vector<std::string> ignoredKeys;
    std::uint64_t maxBodyBytes = 8ULL * 1024 * 1024;
    std::uint64_t memoryBytes = 0; ///< memory that the process may use; 0: half of what the host or its cgroup has
};

} // namespace acaciaslip::state
