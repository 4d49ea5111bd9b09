#pragma once

#include "state/gateway/service_time.hpp"
#include "state/identifiers.hpp"
#include "state/service_activity.hpp"
#include "state/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace acaciaslip::state::gateway {

/// Demand of a request class at one host, as it is told to other hosts.
struct class_demand {
    std::string service;
    std::uint32_t priority = 0;
    duration objective {};
    double perSecond = 0; ///< requests per second that arrive at the host
    duration work {}; ///< typical service time

    [[nodiscard]] bool operator==(const class_demand&) const = default;
};

/// What one host knows of a request class: the requests of one service with the same priority and latency objective.
struct request_class {
    std::uint32_t priority = 0; ///< 0 is the most urgent
    duration objective {};
    time_point lastArrivalAt;
    /// Typical service time on a server without interference, learned from responses.
    std::optional<duration> typicalServiceTime;
    service_time_trials trials;
    std::uint32_t responses = 0; ///< from which the service time was learned; counts up to a bound
    latency_histogram durations; ///< of attempts that were answered, from the send to the response

    /// Counts that decay with time.
    double recentArrivals = 0;
    double recentServed = 0; ///< answered with a server's response
    double recentRefused = 0;
    time_point decayedAt;

    double fleetDemand = 0; ///< slots in use by the class over all servers and hosts, as estimated at `fleetDemandAt`
    time_point fleetDemandAt;
};

/// Position of a waiting request among those of its service: by priority, then by the time at which it must start.
struct waiting_position {
    std::uint32_t priority = 0;
    time_point startBy; ///< objective less the expected work
    std::uint64_t request = 0; ///< id; requests with equal times keep their order of arrival

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons
    [[nodiscard]] friend auto operator<=>(const waiting_position&, const waiting_position&) = default;
};

} // namespace acaciaslip::state::gateway
