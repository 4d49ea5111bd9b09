#pragma once

#include "state/time.hpp"

#include <array>
#include <cstdint>

namespace acaciaslip::coordination::gateway {

struct fleet_limits;

/// Requests and retries of one service in a sliding window, in buckets of equal width.
///
/// Prevents retry storms: when servers shed load, every host retries, and the sum over all hosts must stay within a
/// fixed ratio of the callers' requests, even while hosts cannot reach each other. Each host therefore limits its
/// retries by its own requests plus an equal share of the fleet's fixed allowance. A host that has just started does
/// not know what its predecessor has spent, so until that has left the window it spends only a small part of the ratio.
struct retry_budget {
    static constexpr std::size_t bucketCount = 20;

    struct bucket {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    std::array<bucket, bucketCount> buckets {};
    std::int64_t newest = 0; ///< number of the newest bucket, counted from the clock's epoch
};

/// How much of its share a host may spend.
enum class budget_phase {
    starting, ///< its predecessor may have spent a whole share within the window, or some hosts are not counted yet
    full,
};

/// Returns the phase of a host.
/// \param startedAt when the host's process started
[[nodiscard]] budget_phase findBudgetPhase(
    const fleet_limits& bounds, state::time_point startedAt, state::time_point now) noexcept;

/// Counts a caller's request.
void recordRequest(retry_budget& budget, const fleet_limits& bounds, state::time_point now) noexcept;

/// Counts a retry or hedge, that is, any send of a request after the first.
void recordRetry(retry_budget& budget, const fleet_limits& bounds, state::time_point now) noexcept;

/// Whether one more retry stays within this host's share.
/// \param hosts number of hosts that share the fleet's fixed allowance
[[nodiscard]] bool mayRetry(retry_budget& budget, const fleet_limits& bounds, std::uint32_t hosts, budget_phase phase,
    state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
