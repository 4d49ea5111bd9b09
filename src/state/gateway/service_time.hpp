#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace acaciaslip::state::gateway {

/// Requests that were sent although they appeared to be late; see `service_time_trials.hpp`.
struct service_time_trials {
    std::vector<request_id> inFlight;
    std::uint32_t limit = 1; ///< most that may be in flight; doubles with each success, halves with each failure
    std::uint32_t failures = 0; ///< in a row, at the lowest limit
    std::optional<time_point> pausedUntil; ///< after a failure at the lowest limit
    time_point endedAt; ///< end of the latest one
};

/// What one host knows of the service time of a service's requests with one latency objective.
struct service_time {
    /// Typical service time on a server without interference, learned from responses.
    std::optional<duration> typical;
    service_time_trials trials;
};

} // namespace acaciaslip::state::gateway
