#include "coordination/conditions.hpp"

#include "coordination/membership.hpp"
#include "coordination/node.hpp"
#include "coordination/reports.hpp"

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr unsigned originBits = 16; ///< the low bits of an epoch: which node began it
constexpr std::uint64_t originMask = (1U << originBits) - 1;
constexpr std::uint32_t mostSetbacks = 5;
constexpr state::duration peerEjectionTime = std::chrono::seconds { 2 };

std::uint64_t originOf(const state::host_id& host)
{
    return XXH3_64bits(host.data(), host.size()) & originMask;
}

std::uint64_t nextEpoch(std::uint64_t epoch, std::uint64_t origin) noexcept
{
    return (((epoch >> originBits) + 1) << originBits) | origin;
}

void enterEpoch(state::server_record& server, std::uint64_t epoch, std::string_view reason, state::time_point now)
{
    server.epoch = epoch;
    server.epochSince = now;
    server.limit = 1;
    server.goodAnswers = 0;
    server.shedAnswers = 0;
    server.usualLatency = {};
    server.setbacks = std::min(server.setbacks + 1, mostSetbacks);
    if (server.condition != state::server_condition::ejected) {
        server.condition = state::server_condition::cold;
        server.conditionReason = reason;
        server.conditionSince = now;
    }
}

void becomeWarm(state::server_record& server, std::string_view reason, state::time_point now)
{
    server.condition = state::server_condition::warm;
    server.conditionReason = reason;
    server.conditionSince = now;
    server.setbacks = 0;
    server.ejections = 0;
    server.goodAnswers = 0;
}

/// A limit in the order of growth: warm stands above every limit.
std::uint32_t height(state::server_condition condition, std::uint32_t limit) noexcept
{
    return condition == state::server_condition::warm ? std::numeric_limits<std::uint32_t>::max() : limit;
}

void takeBoot(state::server_record& server, const std::string& boot)
{
    if (boot.empty() || boot == server.boot)
        return;
    server.formerBoot = server.boot;
    server.boot = boot;
}

/// Whether two nodes collapsed a server at once, unaware of each other, and it has grown since in the other's epoch.
bool isRivalGrowth(
    const state::server_record& server, const state::condition_change& change, const state::host_id& self) noexcept
{
    const bool sameGeneration = change.epoch >> originBits == server.epoch >> originBits;
    return sameGeneration && change.epoch > server.epoch && (server.epoch & originMask) == originOf(self)
        && height(change.condition, change.limit) > 1;
}

void takeGrowth(state::server_record& server, const state::condition_change& change, state::time_point now)
{
    if (server.condition != state::server_condition::cold
        || height(change.condition, change.limit) <= height(server.condition, server.limit))
        return;
    server.limit = std::max(server.limit, change.limit);
    server.goodAnswers = 0;
    if (change.condition == state::server_condition::warm)
        becomeWarm(server, "peer_saw_warm", now);
}

void noteCondition(node& self, state::server_record& server, const state::host_id& from,
    const state::condition_change& change, state::time_point now, effect_list& effects)
{
    if (change.condition == state::server_condition::ejected)
        server.ejectedBy[from] = now + peerEjectionTime;
    else
        server.ejectedBy.erase(from);
    noteToldHealth(self, server, change.health, now);
    if (isRivalGrowth(server, change, self.settings.id))
        return collapse(self, server, "rival_growth", now, effects);
    if (change.epoch < server.epoch)
        return;
    takeBoot(server, change.boot);
    if (change.epoch > server.epoch)
        enterEpoch(server, change.epoch, "peer_saw_cold", now);
    takeGrowth(server, change, now);
}

/// Whether a peer may lack what this node knows: not so for a server that is as a new one.
bool isWorthTelling(const state::server_record& server, state::time_point now)
{
    const bool asNew = server.epoch == 0 && server.limit == 1 && server.condition == state::server_condition::cold;
    return !asNew || describeHealth(server, now) == state::told_health::draining;
}

} // namespace

void collapse(
    node& self, state::server_record& server, std::string_view reason, state::time_point now, effect_list& effects)
{
    enterEpoch(server, nextEpoch(server.epoch, originOf(self.settings.id)), reason, now);
    effects.emplace_back(
        log_event { log_level::info, "server_cold", { { "server", server.id }, { "reason", std::string(reason) } } });
    tellConditionChange(self, describeCondition(server, now), now, effects);
}

void makeCold(state::server_record& server, std::string_view reason, state::time_point now)
{
    enterEpoch(server, nextEpoch(server.epoch, 0), reason, now);
    server.setbacks = 0;
    server.condition = state::server_condition::cold;
    server.conditionReason = reason;
    server.conditionSince = now;
}

void grow(node& self, state::server_record& server, state::time_point now, effect_list& effects)
{
    const auto slots = self.fleet.services[server.service].settings.slots;
    server.goodAnswers = 0;
    if (server.limit >= slots)
        becomeWarm(server, "good_answers", now);
    else
        server.limit = std::min(server.limit * 2, slots);
    tellConditionChange(self, describeCondition(server, now), now, effects);
}

void notePeerConditions(node& self, const state::peer_message& message, state::time_point now, effect_list& effects)
{
    for (const auto& change : message.conditions) {
        const auto found = self.fleet.serverIndexes.find(change.server);
        if (found != self.fleet.serverIndexes.end())
            noteCondition(self, self.fleet.servers[found->second], message.from, change, now, effects);
    }
}

state::condition_change describeCondition(const state::server_record& server, state::time_point now)
{
    return { server.id, server.condition, server.limit, server.boot, describeHealth(server, now), server.epoch };
}

std::vector<state::condition_change> conditionsToRepeat(
    const node& self, std::size_t& next, std::size_t most, state::time_point now)
{
    std::vector<state::condition_change> repeated;
    const auto& servers = self.fleet.servers;
    for (std::size_t visited = 0; visited < servers.size() && repeated.size() < most; ++visited) {
        const auto& server = servers[next++ % servers.size()];
        if (server.listing != state::host_listing::absent && isWorthTelling(server, now))
            repeated.push_back(describeCondition(server, now));
    }
    return repeated;
}

} // namespace acaciaslip::coordination
