#include "coordination/cold_start.hpp"

#include "coordination/conditions.hpp"
#include "coordination/ejection.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr std::uint32_t responsesPerStep = 2;
constexpr std::uint32_t responsesWhileReportedCold = 16;
constexpr state::duration reportLifetime = std::chrono::seconds { 3 };
constexpr std::uint32_t shedResponsesToReset = 3; ///< in a row, from a server that is expected to have free slots
constexpr std::uint32_t shedResponsesToResetBusy = 16; ///< in a row, from a server whose slots may all be in use
constexpr int baselineLatencyWeight = 128; ///< the newest sample counts for one part in this many
constexpr int latencyJumpFactor = 6; ///< ratio of average to baseline latency above which a server is reset to cold
constexpr state::duration minLatencyJump = std::chrono::milliseconds { 50 };
constexpr int stallFactor = 10;
constexpr state::duration minStallTime = std::chrono::milliseconds { 250 };
constexpr state::duration defaultStallTime = std::chrono::seconds { 1 };

state::duration stallTime(const state::server_record& server) noexcept
{
    if (server.baselineLatency == state::duration::zero())
        return defaultStallTime;
    return std::max(minStallTime, server.baselineLatency * stallFactor);
}

void updateAverage(state::duration& mean, state::duration latency, int weight) noexcept
{
    if (mean == state::duration::zero())
        mean = latency;
    else
        mean += (latency - mean) / weight;
}

/// A warm server with all slots in use sheds requests as well, so only a long streak indicates that it has become cold.
std::uint32_t shedStreakToReset(const node& self, const state::server_record& server)
{
    const double slots = self.fleet.services[server.service].settings.slots;
    return estimateInFlight(server.load) * 2 <= slots ? shedResponsesToReset : shedResponsesToResetBusy;
}

bool mayResetToCold(const node& self, const state::server_record& server)
{
    return server.condition == state::server_condition::warm
        && isWithinPanicThreshold(self, server,
            [](const state::server_record& other) { return other.condition != state::server_condition::warm; });
}

} // namespace

std::uint32_t responsesToRaiseLimit(const state::server_record& server, state::time_point now) noexcept
{
    const auto needed = responsesPerStep << (server.coldResets > 1 ? server.coldResets - 1 : 0);
    const bool reportedCold = server.report && server.report->cold && server.report->healthReadAt
        && now - *server.report->healthReadAt < reportLifetime;
    return reportedCold ? std::max(needed, responsesWhileReportedCold) : needed;
}

void recordColdResponse(
    node& self, state::server_record& server, state::time_point startedAt, state::time_point now, effect_list& effects)
{
    if (startedAt < server.epochSince || now - startedAt > stallTime(server))
        return;
    if (++server.successesAtLimit >= responsesToRaiseLimit(server, now))
        raiseLimit(self, server, now, effects);
}

void recordShedResponse(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    server.successesAtLimit = 0;
    ++server.consecutiveSheds;
    if (server.condition == state::server_condition::cold && server.limit > 1)
        return resetToCold(self, server, "shed_while_cold", now, effects);
    if (server.consecutiveSheds >= shedStreakToReset(self, server) && mayResetToCold(self, server))
        resetToCold(self, server, "shed_streak", now, effects);
}

void handleReportedCold(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    if (mayResetToCold(self, server))
        resetToCold(self, server, "reported_cold", now, effects);
}

void recordLatency(
    node& self, state::server_record& server, state::duration latency, state::time_point now, effect_list& effects)
{
    updateLatencyAverage(server.load, latency, now);
    const bool jumped = server.baselineLatency != state::duration::zero()
        && server.load.latency
            > std::max(server.baselineLatency * latencyJumpFactor, server.baselineLatency + minLatencyJump);
    updateAverage(server.baselineLatency, latency, baselineLatencyWeight);
    if (jumped && mayResetToCold(self, server))
        resetToCold(self, server, "latency_jump", now, effects);
}

void checkStall(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    if (server.load.inFlightSince.empty() || server.load.inFlightSince.front() < server.epochSince)
        return;
    if (now - server.load.inFlightSince.front() > stallTime(server) && mayResetToCold(self, server))
        resetToCold(self, server, "stall", now, effects);
}

} // namespace acaciaslip::coordination
