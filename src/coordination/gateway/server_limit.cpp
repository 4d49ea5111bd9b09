#include "coordination/gateway/server_limit.hpp"

#include "coordination/gateway/fleet_clock.hpp"
#include "coordination/gateway/random_sample.hpp"
#include "coordination/gateway/server_load.hpp"
#include "coordination/gateway/unproven_refusal.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace acaciaslip::coordination::gateway {

namespace {

/// Time after the start in which a host may not know all hosts that share the limit.
constexpr state::duration learningTime = std::chrono::seconds { 10 };
/// While the fleet's time is unknown, limited servers receive nothing.
constexpr state::duration clockRetryDelay = std::chrono::milliseconds { 100 };
constexpr double goldenRatio = 0.618;
constexpr state::duration confirmationTime = std::chrono::seconds { 3 }; ///< after which a limit counts as unconfirmed
constexpr state::duration endNoticeTime = std::chrono::seconds { 30 }; ///< in which gossip reaches every host
/// Lowest rate, in requests per second of all hosts together, at which a limited server is used. Only the response to a
/// request shows that a limit has ended, so a limit of zero would otherwise last for ever.
constexpr double confirmationRate = 0.25;
constexpr std::size_t limitsPerHeartbeat = 8; ///< keeps it within one datagram

using state::gateway::header_statement;
using state::gateway::limit_notice;
using state::gateway::limit_report;
using state::gateway::server_state;

constexpr int statusMisdirected = 421; ///< the response comes from another server
constexpr int firstServerError = 500;

log_event describeLimit(
    const gateway_node& self, const state::host_id& server, std::string perSecond, std::string_view from)
{
    return { log_level::info, "server_limit",
        { { "server", server }, { "per_second", std::move(perSecond) }, { "from", std::string(from) },
            { "hosts", std::to_string(self.share.hosts) } } };
}

/// Stores the latest statement, and logs a change.
void setLimit(gateway_node& self, server_state& server, std::optional<double> perSecond,
    std::optional<state::time_point> saidAt, std::string_view from, effect_list& effects)
{
    server.limitSaidAt = saidAt;
    if (server.limitPerSecond == perSecond)
        return;
    server.limitPerSecond = perSecond;
    server.limitEndedAt = perSecond ? std::nullopt : saidAt;
    effects.emplace_back(
        describeLimit(self, server.entry.id, perSecond ? fmt::format("{}", *perSecond) : "none", from));
}

void recordNamedLimit(gateway_node& self, server_state& server, const limit_report& limit, std::string_view from,
    state::time_point now, effect_list& effects)
{
    if (limit.statement == header_statement::named)
        setLimit(self, server, limit.perSecond, fleetTime(self, now), from, effects);
    else if (limit.statement == header_statement::unreadable)
        effects.emplace_back(describeLimit(self, server.entry.id, "unreadable", from));
}

/// Whether other hosts should learn what this node knows of a server's limit.
bool isWorthSharing(const server_state& server, state::time_point time)
{
    return server.limitSaidAt
        && (server.limitPerSecond || (server.limitEndedAt && time - *server.limitEndedAt < endNoticeTime));
}

void adoptLimit(gateway_node& self, const limit_notice& notice, state::time_point time, effect_list& effects)
{
    auto* const server = findServer(self, notice.server);
    if (server == nullptr || notice.saidAt > time)
        return;
    if (!server->limitSaidAt || notice.saidAt > *server->limitSaidAt)
        return setLimit(self, *server, notice.perSecond, notice.saidAt, "peer", effects);
    if (notice.perSecond && !server->limitPerSecond && !server->limitEndedAt)
        server->limitEndedAt = server->limitSaidAt; // the sender does not know yet that the limit has ended
}

/// Spreads neighbouring ranks over the whole interval. Hosts that temporarily count a different number of hosts are
/// mostly neighbours, for example in one data centre; in consecutive slots they would double the rate.
host_share spreadRank(host_share share) noexcept
{
    auto stride = std::max<std::uint32_t>(static_cast<std::uint32_t>(share.hosts * goldenRatio), 1);
    while (std::gcd(stride, share.hosts) != 1)
        ++stride;
    const auto rank = static_cast<std::uint64_t>(share.rank) * stride % share.hosts;
    return { share.hosts, static_cast<std::uint32_t>(rank) };
}

host_share shareOfLimits(const gateway_node& self, state::time_point now) noexcept
{
    auto share = self.share;
    if (now - self.membership.startedAt < learningTime)
        share.hosts = std::max(share.hosts, assumedHosts);
    return spreadRank({ std::max<std::uint32_t>(share.hosts, 1), share.rank });
}

} // namespace

void recordAnswerLimit(gateway_node& self, const state::host_id& server, const attempt_finished& finished,
    state::time_point now, effect_list& effects)
{
    auto* const known = findServer(self, server);
    const bool answered = finished.outcome == state::attempt_outcome::answered;
    const bool shed = finished.outcome == state::attempt_outcome::shed && finished.status != statusMisdirected;
    if (known == nullptr || (!answered && !shed))
        return;
    if (finished.limit.statement != header_statement::none)
        return recordNamedLimit(self, *known, finished.limit, "answer", now, effects);
    if (answered && finished.status < firstServerError && !isUnprovenRefusal(finished))
        setLimit(self, *known, std::nullopt, fleetTime(self, now), "answer", effects);
}

void recordProbeLimit(gateway_node& self, const state::host_id& server, const limit_report& limit,
    state::time_point now, effect_list& effects)
{
    if (auto* const known = findServer(self, server))
        recordNamedLimit(self, *known, limit, "probe", now, effects);
}

std::vector<limit_notice> sampleLimits(const gateway_node& self, state::time_point now, random_generator& random)
{
    std::vector<limit_notice> limits;
    const auto time = fleetTime(self, now);
    if (!time)
        return limits;
    for (const auto& [id, server] : self.servers) {
        if (isWorthSharing(server, *time))
            limits.push_back({ id, server.limitPerSecond, *server.limitSaidAt });
    }
    return pickRandom(std::move(limits), limitsPerHeartbeat, random);
}

void adoptLimits(
    gateway_node& self, const std::vector<limit_notice>& limits, state::time_point now, effect_list& effects)
{
    const auto time = fleetTime(self, now);
    if (!time)
        return;
    for (const auto& notice : limits)
        adoptLimit(self, notice, *time, effects);
}

bool isLimitUnconfirmed(const gateway_node& self, const server_state& server, state::time_point now) noexcept
{
    const auto time = fleetTime(self, now);
    return server.limitPerSecond && time && (!server.limitSaidAt || *time - *server.limitSaidAt >= confirmationTime);
}

state::duration timeUntilWithinLimit(
    const gateway_node& self, const server_state& server, state::time_point now) noexcept
{
    if (!server.limitPerSecond)
        return {};
    const auto time = fleetTime(self, now);
    if (!time)
        return clockRetryDelay;
    // The slots of one host at different servers start at different times.
    const auto& id = server.entry.id;
    const state::duration anchor { static_cast<std::int64_t>(XXH3_64bits(id.data(), id.size()) >> 32U) };
    const double perSecond = std::max(*server.limitPerSecond, confirmationRate);
    return timeUntilSlot(
        anchor - time->time_since_epoch(), perSecond, shareOfLimits(self, now), server.lastSendAt, now);
}

} // namespace acaciaslip::coordination::gateway
