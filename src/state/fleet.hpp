#pragma once

#include "state/fleet_settings.hpp"
#include "state/server_record.hpp"
#include "state/service_activity.hpp"

#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::state {

/// A service with its servers.
struct service_record {
    service_settings settings;
    bool active = true; ///< false: no longer in the published settings; the index stays reserved
    std::vector<server_index> members; ///< every server whose listing is not `absent`
    service_activity activity;
};

/// All services and servers that this node knows. Indexes into both stay valid for the life of the process.
struct fleet {
    std::vector<service_record> services;
    absl::flat_hash_map<service_name, service_index> serviceIndexes;
    std::vector<server_record> servers;
    absl::flat_hash_map<host_id, server_index> serverIndexes;
    std::vector<host_id> entryHosts; ///< every listed entry host, sorted; includes this host once it is listed
};

} // namespace acaciaslip::state
