#pragma once

#include "state/time.hpp"

#include <array>
#include <cstdint>

namespace acaciaslip::coordination::gateway {

struct fleet_bounds;

/// Requests and repeats of one service in a sliding window, in buckets of equal width.
///
/// Pattern: retry storm. Servers that shed make every host repeat; the sum over all hosts must stay a fixed share of
/// the callers' requests, also while hosts cannot hear each other. Each host therefore pays for repeats out of its own
/// requests and an equal part of the fleet's slack.
struct retry_allowance {
    static constexpr std::size_t bucketCount = 20;

    struct bucket {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    std::array<bucket, bucketCount> buckets {};
    std::int64_t newest = 0; ///< number of the newest bucket since the clock's start
};

/// Counts a caller's request.
void noteRequest(retry_allowance& allowance, const fleet_bounds& bounds, state::time_point now) noexcept;

/// Counts a second or later send of one request.
void noteRepeat(retry_allowance& allowance, const fleet_bounds& bounds, state::time_point now) noexcept;

/// Whether one more repeat stays within this host's share.
/// \param hosts how many hosts share the fleet's slack
[[nodiscard]] bool mayRepeat(
    retry_allowance& allowance, const fleet_bounds& bounds, std::uint32_t hosts, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
