#include "coordination/gateway/server_health.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr double observationWeight = 0.3; ///< weight of a new observation in the moving averages
constexpr state::duration decayTime = std::chrono::seconds { 6 }; ///< an observation decays to 1/e in this time
constexpr double minRatio = 0.5; ///< lower bound of duration ratios: a fast response predicts little about the next one
constexpr double maxRatio = 10;
constexpr state::duration minEjection = std::chrono::milliseconds { 250 };
constexpr state::duration maxEjection = std::chrono::seconds { 2 };

double decay(state::time_point since, state::time_point now) noexcept
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(now - since) / decayTime));
}

} // namespace

void recordDuration(state::gateway::server_state& server, state::duration took, state::duration expected,
    state::time_point now) noexcept
{
    if (expected <= state::duration::zero())
        return;
    const double ratio
        = std::clamp(static_cast<double>(took.count()) / static_cast<double>(expected.count()), minRatio, maxRatio);
    // The expected duration already includes the slowdown observed so far.
    const double slowness = ratio * currentSlowdown(server, now);
    const double before = currentSlowdown(server, now);
    server.slowdownFactor = std::clamp(before + observationWeight * (slowness - before), minRatio, maxRatio);
    server.slowdownFactorAt = now;
}

void recordAnswer(state::gateway::server_state& server, bool good, state::time_point now) noexcept
{
    const double before = currentFailureRate(server, now);
    server.failureRate = before + observationWeight * ((good ? 0 : 1) - before);
    server.failureRateAt = now;
}

void recordUnreachable(state::gateway::server_state& server, state::time_point now) noexcept
{
    constexpr std::uint32_t maxDoublings = 8;
    ++server.consecutiveFailures;
    const auto doublings = std::min(server.consecutiveFailures - 1, maxDoublings);
    server.ejectedUntil = now + std::min<state::duration>(minEjection * (1U << doublings), maxEjection);
}

void recordReachable(state::gateway::server_state& server) noexcept
{
    server.consecutiveFailures = 0;
    server.ejectedUntil.reset();
    server.downSince.reset();
}

double currentSlowdown(const state::gateway::server_state& server, state::time_point now) noexcept
{
    return 1 + (server.slowdownFactor - 1) * decay(server.slowdownFactorAt, now);
}

double currentFailureRate(const state::gateway::server_state& server, state::time_point now) noexcept
{
    return server.failureRate * decay(server.failureRateAt, now);
}

bool isEjected(const state::gateway::server_state& server, state::time_point now) noexcept
{
    return server.ejectedUntil && now < *server.ejectedUntil;
}

} // namespace acaciaslip::coordination::gateway
