#pragma once

#include "state/gateway/request_digest.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <optional>
#include <vector>

namespace acaciaslip::state::gateway {

/// A crash of a server during a request. Times are fleet time.
struct server_crash {
    host_id server;
    time_point startedAt; ///< when the request was sent
    time_point endedAt; ///< when its connection broke off

    [[nodiscard]] bool operator==(const server_crash&) const = default;
};

/// What is known of a request during which servers ended. Times are fleet time.
struct crash_report {
    request_digest request;
    std::vector<server_crash> crashes; ///< earliest first; only those that began after `answeredAt`
    std::optional<time_point> answeredAt; ///< when a server last answered such a request
    time_point lastSeenAt; ///< when such a request last crashed a server or was refused

    [[nodiscard]] bool operator==(const crash_report&) const = default;
};

} // namespace acaciaslip::state::gateway
