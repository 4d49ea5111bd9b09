#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <string>
#include <vector>

namespace acaciaslip::state {

/// What is this host's own, from its node.yaml.
struct node_settings {
    host_id id;
    data_centre_id dataCentre;
    std::string callers; ///< "ip:port" that callers reach
    std::string peers; ///< "ip:port" for other nodes, UDP and TCP
    std::string operators; ///< "ip:port" for operators
    std::vector<std::string> platform; ///< "ip:port" of the platform's configuration service, tried in turn
    std::vector<std::string> seedPeers; ///< "ip:port" of nodes to ask when the platform is down at the start
    duration lameDuck = std::chrono::seconds { 2 }; ///< between announcing that we leave and refusing new work
    std::string logLevel = "info";
    std::vector<std::string> ignoredKeys; ///< still taken, so that files of earlier versions start a node
    std::uint64_t maxBodyBytes = 8ULL * 1024 * 1024;
};

} // namespace acaciaslip::state
