#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include <absl/container/btree_set.h>

namespace acaciaslip::state {

/// A request that waits for a server; the one with the earliest deadline goes first.
struct waiting_request {
    time_point deadline;
    request_id id {};

    // NOLINTNEXTLINE(modernize-use-nullptr): a false alarm on defaulted comparisons
    [[nodiscard]] friend auto operator<=>(const waiting_request&, const waiting_request&) = default;
};

/// Tokens that pay for repeated work.
struct token_bucket {
    double tokens = 0;
    time_point refilledAt;
};

/// How long a service's answers took lately: counts in buckets whose widths grow by a constant factor.
struct latency_histogram {
    static constexpr std::size_t bucketCount = 64;

    std::array<std::uint32_t, bucketCount> counts {};
    std::uint32_t total = 0;
};

/// How often a waiting request is given a server.
struct departure_estimate {
    duration interval {}; ///< moving average between two departures while requests wait
    std::uint32_t samples = 0;
    time_point since; ///< the last departure, or when the first request began to wait
};

/// What one node does for one service: who waits, what repeated work it may pay for, how fast it goes.
struct service_activity {
    absl::btree_set<waiting_request> waiting;
    departure_estimate departures;
    token_bucket retries;
    token_bucket hedges;
    latency_histogram latencies;
};

} // namespace acaciaslip::state
