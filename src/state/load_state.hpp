#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::state {

/// Requests that a peer reports in flight on a server.
struct peer_load {
    std::uint32_t inFlight = 0; ///< newest reported count
    double average = 0; ///< moving average of the reported counts
    time_point receivedAt; ///< when the newest count was received
};

/// Load of one server. This node's own part is exact; the peers' parts lag behind by the time between reports.
struct load_state {
    absl::flat_hash_map<host_id, peer_load> peers;
    double peersAverage = 0; ///< sum of the moving averages of all peers
    std::vector<time_point> inFlightSince; ///< start of each request of this node in flight, oldest first
    /// Slots that are assigned to this node; it uses those of other nodes only when these are full.
    std::uint32_t assignedSlots = 0;
    duration latency {}; ///< moving average over complete answers; zero: none yet
    time_point latencyUpdatedAt; ///< when the newest complete answer was received
};

} // namespace acaciaslip::state
