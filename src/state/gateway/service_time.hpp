#pragma once

#include "state/time.hpp"

#include <optional>

namespace acaciaslip::state::gateway {

/// What one host knows of the service time of a service's requests with one latency objective.
struct service_time {
    /// Typical service time on a server without interference, learned from responses.
    std::optional<duration> typical;
};

} // namespace acaciaslip::state::gateway
