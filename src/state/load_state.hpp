#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::state {

/// What a peer says it has in flight on a server.
struct peer_load {
    std::uint32_t inFlight = 0; ///< last heard
    double average = 0; ///< moving average of what was heard
    time_point heardAt;
};

/// What is known of a server's load; the part that nodes share lags, the part of this node is exact.
struct load_state {
    absl::flat_hash_map<host_id, peer_load> peers;
    double othersAverage = 0; ///< sum of the peers' averages
    std::vector<time_point> runningSince; ///< start of each own request in flight, oldest first
    std::uint32_t slotPermits = 0; ///< slots of the server that this node fills before it borrows others'
    duration latency {}; ///< moving average of whole answers; zero: none yet
    time_point latencyAt; ///< of the newest answer
};

} // namespace acaciaslip::state
