#pragma once

#include "state/fleet_settings.hpp"
#include "state/server_record.hpp"
#include "state/service_activity.hpp"

#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::state {

/// One service and its members.
struct service_record {
    service_settings settings;
    bool active = true; ///< false: its settings are gone; its index stays
    std::vector<server_index> members; ///< every server not absent
    service_activity activity;
};

/// Services and servers; indexes into both stay valid for the life of the process.
struct fleet {
    std::vector<service_record> services;
    absl::flat_hash_map<service_name, service_index> serviceIndexes;
    std::vector<server_record> servers;
    absl::flat_hash_map<host_id, server_index> serverIndexes;
    std::vector<host_id> entryHosts; ///< every listed entry host, sorted; ours included once listed
};

} // namespace acaciaslip::state
