#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Limits that apply to the fleet as a whole; the defaults apply to settings that are not given.
struct fleet_limits {
    double retryRatio = 0.2; ///< retries per request, over `retryWindow`
    state::duration retryWindow = std::chrono::seconds { 10 };
    double minRetries = 50; ///< retries per `retryWindow` in addition to the ratio, over all hosts
    state::duration drain = std::chrono::seconds { 2 }; ///< for which a server serves after it says that it leaves
    state::duration shutdownGrace = std::chrono::seconds { 6 }; ///< time between SIGTERM and SIGKILL
    state::duration configApply = std::chrono::seconds { 2 }; ///< from a change in the store to its effect on all hosts
    /// Time from the end of a disturbance of a host until it must be up to date again.
    state::duration stableWindow = std::chrono::seconds { 3 };
    /// A host that has had no news of the store for `revoke` refuses requests that need a key.
    bool strictRevoke = false;
    state::duration revoke = std::chrono::seconds { 5 };
    state::duration quotaWindow = std::chrono::seconds { 5 }; ///< any span of this length is checked
    double quotaExcess = 0.25; ///< share of an allowance by which a team may exceed it in such a window
    double quotaSlack = 20; ///< requests by which a team may exceed it in addition, over all hosts
};

/// Settings of this node alone.
struct node_settings {
    state::host_id id;
    state::data_centre_id dataCentre;
    std::string ip; ///< address that other hosts use for this one; empty: it has none and reads only the store
    std::vector<std::string> seeds; ///< addresses of some hosts, without port; they may be unreachable
    std::int64_t incarnation = 0; ///< increases with every start of this host
    fleet_limits limits;
};

} // namespace acaciaslip::coordination::gateway
