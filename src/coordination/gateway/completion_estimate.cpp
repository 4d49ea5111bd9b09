#include "coordination/gateway/completion_estimate.hpp"

#include "coordination/gateway/server_health.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr double highUtilizationSlowdown = 1.5; ///< observed values lie between 1.3 and 1.7
constexpr double coldSlowdown = 2; ///< likewise, for a server that has just started

} // namespace

slot_use countSlotUse(const state::gateway::server_state& server) noexcept
{
    const bool reported = server.report.has_value();
    const std::uint32_t reportedSlots = reported ? server.report->slots : 0;
    const double slots = std::max<std::uint32_t>(1, reportedSlots > 0 ? reportedSlots : server.entry.slots);
    const double known = reported ? server.report->inFlight + server.sentSinceReport : 0;
    const double inFlight = std::max<double>(known, server.ownInFlight);
    return { slots, inFlight, (reported ? server.report->queued : 0) + std::max(0.0, inFlight - slots) };
}

completion_estimate estimateCompletion(
    const state::gateway::server_state& server, state::duration typicalServiceTime, state::time_point now) noexcept
{
    const auto [slots, inFlight, queued] = countSlotUse(server);
    double slowdown = server.report ? server.report->slowdown : 1;
    if (inFlight + 1 > highUtilization * slots)
        slowdown *= highUtilizationSlowdown;
    if (now < server.coldUntil)
        slowdown *= coldSlowdown;
    const bool startsImmediately = inFlight < slots;
    const double queueAhead = startsImmediately ? queued : queued + 1;
    const double serviceTimes = slowdown * (1 + queueAhead / slots);
    // A server that fails some of its requests also costs the time of retrying them.
    const double expectedAttempts = 1 / (1 - std::min(0.9, currentFailureRate(server, now)));
    const double observed = currentSlowdown(server, now) * expectedAttempts;
    return { std::chrono::duration_cast<state::duration>(typicalServiceTime * (serviceTimes * observed)),
        startsImmediately, std::chrono::duration_cast<state::duration>(typicalServiceTime * serviceTimes) };
}

} // namespace acaciaslip::coordination::gateway
