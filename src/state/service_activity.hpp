#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include <absl/container/btree_set.h>

namespace acaciaslip::state {

/// A request that is queued for a server. Requests are ordered by deadline, the earliest first.
struct waiting_request {
    time_point deadline;
    request_id id {};

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons
    [[nodiscard]] friend auto operator<=>(const waiting_request&, const waiting_request&) = default;
};

/// Token bucket that limits retries or hedges.
struct token_bucket {
    double tokens = 0;
    time_point refilledAt;
};

/// Recent latencies of a service, counted in buckets whose widths grow by a constant factor.
struct latency_histogram {
    static constexpr std::size_t bucketCount = 64;

    std::array<std::uint32_t, bucketCount> counts {};
    std::uint32_t total = 0;
};

/// Estimate of how often a queued request is assigned a server.
struct departure_estimate {
    duration interval {}; ///< moving average of the time between two departures while requests are queued
    std::uint32_t samples = 0; ///< departures in the average
    time_point since; ///< the last departure, or when the first request was queued
};

/// This node's activity for one service: queue, retry and hedge budgets, and latencies.
struct service_activity {
    absl::btree_set<waiting_request> waiting;
    departure_estimate departures;
    token_bucket retries;
    token_bucket hedges;
    latency_histogram latencies;
};

} // namespace acaciaslip::state
