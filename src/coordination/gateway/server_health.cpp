#include "coordination/gateway/server_health.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr double newestWeight = 0.3; ///< weight of a new observation in the moving averages
constexpr state::duration memory = std::chrono::seconds { 6 }; ///< an observation decays to 1/e in this time
constexpr double leastRatio = 0.5; ///< lower bound of duration ratios: a fast response says little about the next one
constexpr double mostRatio = 10;
constexpr state::duration shortestAvoidance = std::chrono::milliseconds { 250 };
constexpr state::duration longestAvoidance = std::chrono::seconds { 2 };

double fade(state::time_point since, state::time_point now) noexcept
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(now - since) / memory));
}

} // namespace

void noteDuration(state::gateway::server_state& server, state::duration took, state::duration expected,
    state::time_point now) noexcept
{
    if (expected <= state::duration::zero())
        return;
    const double ratio
        = std::clamp(static_cast<double>(took.count()) / static_cast<double>(expected.count()), leastRatio, mostRatio);
    // The expected duration already includes the slowdown observed so far.
    const double slowness = ratio * currentSlowness(server, now);
    const double before = currentSlowness(server, now);
    server.slowness = std::clamp(before + newestWeight * (slowness - before), leastRatio, mostRatio);
    server.slownessAt = now;
}

void noteAnswer(state::gateway::server_state& server, bool good, state::time_point now) noexcept
{
    const double before = currentFailureShare(server, now);
    server.failureShare = before + newestWeight * ((good ? 0 : 1) - before);
    server.failureShareAt = now;
}

void noteUnreachable(state::gateway::server_state& server, state::time_point now) noexcept
{
    constexpr std::uint32_t mostDoublings = 8;
    ++server.failuresInRow;
    const auto doublings = std::min(server.failuresInRow - 1, mostDoublings);
    server.avoidUntil = now + std::min<state::duration>(shortestAvoidance * (1U << doublings), longestAvoidance);
}

void noteReachable(state::gateway::server_state& server) noexcept
{
    server.failuresInRow = 0;
    server.avoidUntil.reset();
}

double currentSlowness(const state::gateway::server_state& server, state::time_point now) noexcept
{
    return 1 + (server.slowness - 1) * fade(server.slownessAt, now);
}

double currentFailureShare(const state::gateway::server_state& server, state::time_point now) noexcept
{
    return server.failureShare * fade(server.failureShareAt, now);
}

bool isAvoided(const state::gateway::server_state& server, state::time_point now) noexcept
{
    return server.avoidUntil && now < *server.avoidUntil;
}

} // namespace acaciaslip::coordination::gateway
