#include "coordination/conditions.hpp"

#include "coordination/membership.hpp"
#include "coordination/node.hpp"
#include "coordination/probe_results.hpp"

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr unsigned originBits = 16; ///< low bits of an epoch, which identify the node that started it
constexpr std::uint64_t originMask = (1U << originBits) - 1;
constexpr std::uint32_t maxColdResets = 5;
constexpr state::duration peerEjectionTime = std::chrono::seconds { 2 };

std::uint64_t originHash(const state::host_id& host)
{
    return XXH3_64bits(host.data(), host.size()) & originMask;
}

std::uint64_t nextEpoch(std::uint64_t epoch, std::uint64_t origin) noexcept
{
    return (((epoch >> originBits) + 1) << originBits) | origin;
}

void startEpoch(state::server_record& server, std::uint64_t epoch, std::string_view reason, state::time_point now)
{
    server.epoch = epoch;
    server.epochSince = now;
    server.limit = 1;
    server.successesAtLimit = 0;
    server.consecutiveSheds = 0;
    server.baselineLatency = {};
    server.coldResets = std::min(server.coldResets + 1, maxColdResets);
    if (server.condition != state::server_condition::ejected) {
        server.condition = state::server_condition::cold;
        server.conditionReason = reason;
        server.conditionSince = now;
    }
}

void markWarm(state::server_record& server, std::string_view reason, state::time_point now)
{
    server.condition = state::server_condition::warm;
    server.conditionReason = reason;
    server.conditionSince = now;
    server.coldResets = 0;
    server.ejections = 0;
    server.successesAtLimit = 0;
}

/// Maps condition and limit to one increasing order, in which warm ranks above every limit.
std::uint32_t limitRank(state::server_condition condition, std::uint32_t limit) noexcept
{
    return condition == state::server_condition::warm ? std::numeric_limits<std::uint32_t>::max() : limit;
}

void updateBootId(state::server_record& server, const std::string& boot)
{
    if (boot.empty() || boot == server.bootId)
        return;
    server.previousBootId = server.bootId;
    server.bootId = boot;
}

/// Whether this node and a peer reset a server concurrently and its limit has since been raised in the peer's epoch.
bool isConcurrentIncrease(
    const state::server_record& server, const state::condition_change& change, const state::host_id& self) noexcept
{
    const bool sameGeneration = change.epoch >> originBits == server.epoch >> originBits;
    return sameGeneration && change.epoch > server.epoch && (server.epoch & originMask) == originHash(self)
        && limitRank(change.condition, change.limit) > 1;
}

void applyIncrease(state::server_record& server, const state::condition_change& change, state::time_point now)
{
    if (server.condition != state::server_condition::cold
        || limitRank(change.condition, change.limit) <= limitRank(server.condition, server.limit))
        return;
    server.limit = std::max(server.limit, change.limit);
    server.successesAtLimit = 0;
    if (change.condition == state::server_condition::warm)
        markWarm(server, "peer_saw_warm", now);
}

void applyCondition(node& self, state::server_record& server, const state::host_id& from,
    const state::condition_change& change, state::time_point now, effect_list& effects)
{
    if (change.condition == state::server_condition::ejected)
        server.ejectedBy[from] = now + peerEjectionTime;
    else
        server.ejectedBy.erase(from);
    applyPeerHealth(self, server, change.health, now);
    if (isConcurrentIncrease(server, change, self.settings.id))
        return resetToCold(self, server, "rival_growth", now, effects);
    if (change.epoch < server.epoch)
        return;
    updateBootId(server, change.bootId);
    if (change.epoch > server.epoch)
        startEpoch(server, change.epoch, "peer_saw_cold", now);
    applyIncrease(server, change, now);
}

/// Whether a peer may lack this server's condition. Peers already assume the initial state for a new server.
bool isWorthResending(const state::server_record& server, state::time_point now)
{
    const bool isInitial = server.epoch == 0 && server.limit == 1 && server.condition == state::server_condition::cold;
    return !isInitial || recentHealth(server, now) == state::observed_health::draining;
}

} // namespace

void resetToCold(
    node& self, state::server_record& server, std::string_view reason, state::time_point now, effect_list& effects)
{
    startEpoch(server, nextEpoch(server.epoch, originHash(self.settings.id)), reason, now);
    effects.emplace_back(
        log_event { log_level::info, "server_cold", { { "server", server.id }, { "reason", std::string(reason) } } });
    broadcastConditionChange(self, makeConditionChange(server, now), now, effects);
}

void resetToColdLocally(state::server_record& server, std::string_view reason, state::time_point now)
{
    startEpoch(server, nextEpoch(server.epoch, 0), reason, now);
    server.coldResets = 0;
    server.condition = state::server_condition::cold;
    server.conditionReason = reason;
    server.conditionSince = now;
}

void raiseLimit(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    const auto slots = self.fleet.services[server.service].settings.slots;
    server.successesAtLimit = 0;
    if (server.limit >= slots)
        markWarm(server, "good_answers", now);
    else
        server.limit = std::min(server.limit * 2, slots);
    broadcastConditionChange(self, makeConditionChange(server, now), now, effects);
}

void applyPeerConditions(node& self, const state::peer_message& message, state::time_point now, effect_list& effects)
{
    for (const auto& change : message.conditions) {
        const auto found = self.fleet.serverIndexes.find(change.server);
        if (found != self.fleet.serverIndexes.end())
            applyCondition(self, self.fleet.servers[found->second], message.sender, change, now, effects);
    }
}

state::condition_change makeConditionChange(const state::server_record& server, state::time_point now)
{
    return { server.id, server.condition, server.limit, server.bootId, recentHealth(server, now), server.epoch };
}

std::vector<state::condition_change> conditionsToResend(
    const node& self, std::size_t& next, std::size_t maxCount, state::time_point now)
{
    std::vector<state::condition_change> repeated;
    const auto& servers = self.fleet.servers;
    for (std::size_t visited = 0; visited < servers.size() && repeated.size() < maxCount; ++visited) {
        const auto& server = servers[next++ % servers.size()];
        if (server.listing != state::host_listing::absent && isWorthResending(server, now))
            repeated.push_back(makeConditionChange(server, now));
    }
    return repeated;
}

} // namespace acaciaslip::coordination
