#include "coordination/gateway/server_limit.hpp"

#include "coordination/gateway/fleet_clock.hpp"

#include <algorithm>
#include <numeric>

#include <xxhash.h>

namespace acaciaslip::coordination::gateway {

namespace {

/// After its start a host does not know yet how many hosts share the limit.
constexpr state::duration learningTime = std::chrono::seconds { 10 };
/// While the fleet's time is unknown, limited servers receive nothing.
constexpr state::duration clockRetryDelay = std::chrono::milliseconds { 100 };
constexpr double goldenRatio = 0.618;

/// Spreads neighbouring ranks over the whole interval. Hosts that know a different number of hosts for a while are
/// mostly neighbours, such as those of one data centre, and must not send in a row twice.
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

state::duration timeUntilWithinLimit(
    const gateway_node& self, const state::gateway::server_state& server, state::time_point now) noexcept
{
    if (!server.limitPerSecond)
        return {};
    const auto time = fleetTime(self, now);
    if (!time)
        return clockRetryDelay;
    // The slots of one host at different servers start at different times.
    const auto& id = server.entry.id;
    const state::duration anchor { static_cast<std::int64_t>(XXH3_64bits(id.data(), id.size()) >> 32U) };
    return timeUntilSlot(
        anchor - time->time_since_epoch(), *server.limitPerSecond, shareOfLimits(self, now), server.lastSendAt, now);
}

} // namespace acaciaslip::coordination::gateway
