#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace acaciaslip::state::gateway {

/// Requests sent although their estimated completion exceeds their deadline; see `service_time_trials.hpp`.
struct service_time_trials {
    std::vector<request_id> inFlight;
    std::uint32_t limit = 1; ///< most that may be in flight; doubles with each success, halves with each failure
    std::uint32_t failures = 0; ///< in a row, at the lowest limit
    std::optional<time_point> pausedUntil; ///< after a failure at the lowest limit
    time_point endedAt; ///< when the latest trial ended
};

/// Service time of the requests of one service that have the same latency objective, as seen by one host.
struct service_time {
    /// Typical service time on an otherwise idle machine, as a moving average over responses.
    std::optional<duration> typical;
    service_time_trials trials;
};

} // namespace acaciaslip::state::gateway
