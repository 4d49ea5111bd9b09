#include "coordination/cold_start.hpp"

#include "coordination/conditions.hpp"
#include "coordination/ejection.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr std::uint32_t answersPerStep = 2;
constexpr std::uint32_t answersWhileReportedCold = 16;
constexpr state::duration reportLife = std::chrono::seconds { 3 };
constexpr std::uint32_t shedAnswersToCollapse = 3; ///< in a row, from a server that should have had room
constexpr std::uint32_t shedAnswersToCollapseBusy = 16; ///< in a row, from one whose slots may just have been taken
constexpr int usualLatencyWeight = 128; ///< the newest answer counts one in this many
constexpr int jumpFactor = 6; ///< the average over the usual latency at which a server counts as cold again
constexpr state::duration leastJump = std::chrono::milliseconds { 50 };
constexpr int stallFactor = 10;
constexpr state::duration leastStall = std::chrono::milliseconds { 250 };
constexpr state::duration stallWhenUnknown = std::chrono::seconds { 1 };

state::duration stallTime(const state::server_record& server) noexcept
{
    if (server.usualLatency == state::duration::zero())
        return stallWhenUnknown;
    return std::max(leastStall, server.usualLatency * stallFactor);
}

void average(state::duration& mean, state::duration latency, int weight) noexcept
{
    if (mean == state::duration::zero())
        mean = latency;
    else
        mean += (latency - mean) / weight;
}

/// A warm server whose slots are taken sheds as well; only a long streak sets it apart from one that turned cold.
std::uint32_t shedStreakToCollapse(const node& self, const state::server_record& server)
{
    const double slots = self.fleet.services[server.service].settings.slots;
    return estimateInFlight(server.load) * 2 <= slots ? shedAnswersToCollapse : shedAnswersToCollapseBusy;
}

bool mayCollapse(const node& self, const state::server_record& server)
{
    return server.condition == state::server_condition::warm
        && canSpare(self, server,
            [](const state::server_record& other) { return other.condition != state::server_condition::warm; });
}

} // namespace

std::uint32_t answersToGrow(const state::server_record& server, state::time_point now) noexcept
{
    const auto needed = answersPerStep << (server.setbacks > 1 ? server.setbacks - 1 : 0);
    const bool reportedCold = server.report && server.report->cold && server.report->healthAt
        && now - *server.report->healthAt < reportLife;
    return reportedCold ? std::max(needed, answersWhileReportedCold) : needed;
}

void noteColdAnswer(
    node& self, state::server_record& server, state::time_point startedAt, state::time_point now, effect_list& effects)
{
    if (startedAt < server.epochSince || now - startedAt > stallTime(server))
        return;
    if (++server.goodAnswers >= answersToGrow(server, now))
        grow(self, server, now, effects);
}

void noteShedStreak(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    server.goodAnswers = 0;
    ++server.shedAnswers;
    if (server.condition == state::server_condition::cold && server.limit > 1)
        return collapse(self, server, "shed_while_cold", now, effects);
    if (server.shedAnswers >= shedStreakToCollapse(self, server) && mayCollapse(self, server))
        collapse(self, server, "shed_streak", now, effects);
}

void noteReportedCold(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    if (mayCollapse(self, server))
        collapse(self, server, "reported_cold", now, effects);
}

void noteLatency(
    node& self, state::server_record& server, state::duration latency, state::time_point now, effect_list& effects)
{
    learnLatency(server.load, latency, now);
    const bool jumped = server.usualLatency != state::duration::zero()
        && server.load.latency > std::max(server.usualLatency * jumpFactor, server.usualLatency + leastJump);
    average(server.usualLatency, latency, usualLatencyWeight);
    if (jumped && mayCollapse(self, server))
        collapse(self, server, "latency_jump", now, effects);
}

void reviewStall(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    if (server.load.runningSince.empty() || server.load.runningSince.front() < server.epochSince)
        return;
    if (now - server.load.runningSince.front() > stallTime(server) && mayCollapse(self, server))
        collapse(self, server, "stall", now, effects);
}

} // namespace acaciaslip::coordination
