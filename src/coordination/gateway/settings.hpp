#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// What the fleet as a whole may spend and how fast it must act; the defaults hold where the settings name none.
struct fleet_bounds {
    double retryRatio = 0.2; ///< repeats per request, over `retryWindow`
    state::duration retryWindow = std::chrono::seconds { 10 };
    double retrySlack = 50; ///< repeats in `retryWindow` beside the ratio, over all hosts
    state::duration stopGrace = std::chrono::seconds { 6 }; ///< between SIGTERM and SIGKILL
};

/// What is this node's own.
struct node_settings {
    state::host_id id;
    state::data_centre_id dataCentre;
    std::string ip; ///< by which other hosts know this one; empty: it has none and follows the store alone
    std::vector<std::string> seeds; ///< addresses of some hosts, without port; they may be down
    std::int64_t incarnation = 0; ///< rises with every start of this host
    fleet_bounds bounds;
};

} // namespace acaciaslip::coordination::gateway
