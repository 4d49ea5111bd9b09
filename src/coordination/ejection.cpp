#include "coordination/ejection.hpp"

#include "coordination/conditions.hpp"
#include "coordination/membership.hpp"
#include "coordination/node.hpp"

#include <algorithm>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr std::uint32_t failuresToEject = 5;
constexpr std::uint32_t connectFailuresToEject = 3;
constexpr state::duration baseEjectionTime = std::chrono::seconds { 1 };
constexpr std::uint32_t maxEjectionDoublings = 4; ///< limits the ejection time to 16 s plus jitter
constexpr std::uint64_t jitterSteps = 256; ///< number of jitter steps, which add up to half of the ejection time

state::duration ejectionTime(const node& self, const state::server_record& server)
{
    const auto base = baseEjectionTime * (1U << std::min(server.ejections, maxEjectionDoublings));
    const auto seed = XXH3_64bits_withSeed(server.id.data(), server.id.size(), server.ejections);
    const auto draw = XXH3_64bits_withSeed(self.settings.id.data(), self.settings.id.size(), seed) % jitterSteps;
    return base + base / 2 * draw / jitterSteps;
}

bool isInService(const state::server_record& server) noexcept
{
    return server.listing == state::host_listing::live && !server.dataCentreEvacuated;
}

bool isOutOfRotation(const state::server_record& server) noexcept
{
    return server.condition == state::server_condition::ejected || (server.report && server.report->draining);
}

} // namespace

bool isWithinPanicThreshold(const node& self, const state::server_record& server,
    const std::function<bool(const state::server_record&)>& isExcluded)
{
    std::size_t live = 0;
    std::size_t excluded = 0;
    for (const auto index : self.fleet.services[server.service].members) {
        const auto& other = self.fleet.servers[index];
        if (!isInService(other))
            continue;
        ++live;
        excluded += other.id != server.id && isExcluded(other) ? 1 : 0;
    }
    return (excluded + 1) * 2 <= live;
}

bool mayAcceptDrainReport(const node& self, const state::server_record& server)
{
    return isWithinPanicThreshold(self, server, isOutOfRotation);
}

void recordFailure(
    node& self, state::server_record& server, bool connectFailed, state::time_point now, effect_list& effects)
{
    server.successesAtLimit = 0;
    ++server.consecutiveFailures;
    server.consecutiveConnectFailures = connectFailed ? server.consecutiveConnectFailures + 1 : 0;
    const bool isFailing
        = server.consecutiveFailures >= failuresToEject || server.consecutiveConnectFailures >= connectFailuresToEject;
    if (!isFailing || server.condition == state::server_condition::ejected
        || !isWithinPanicThreshold(self, server, isOutOfRotation))
        return;
    const auto time = ejectionTime(self, server);
    ++server.ejections;
    server.condition = state::server_condition::ejected;
    server.conditionReason = connectFailed ? "connect_failures" : "failures";
    server.conditionSince = now;
    server.ejectedUntil = now + time;
    resetToCold(self, server, server.conditionReason, now, effects);
}

void endExpiredEjection(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    if (server.condition != state::server_condition::ejected || now < server.ejectedUntil)
        return;
    server.condition = state::server_condition::cold;
    server.conditionReason = "returning";
    server.conditionSince = now;
    server.consecutiveFailures = 0;
    server.consecutiveConnectFailures = 0;
    broadcastConditionChange(self, makeConditionChange(server, now), now, effects);
}

} // namespace acaciaslip::coordination
