#include "coordination/gateway/store_news.hpp"

#include "coordination/gateway/fleet_clock.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// News must reach hosts of a data centre without store through another one and a peer there, also if one of the
/// datagrams is lost, before `revoke` is over.
constexpr int intervalsPerRevoke = 4;

/// Time after which other data centres are told again, and after which news is passed on within a data centre.
state::duration storeNewsInterval(const fleet_limits& limits) noexcept
{
    return limits.revoke / intervalsPerRevoke;
}

} // namespace

bool areKeysOutdated(const gateway_node& self, state::time_point now) noexcept
{
    const auto& limits = self.settings.limits;
    return limits.strictRevoke && (!self.storeNewsAt || now - *self.storeNewsAt > limits.revoke);
}

state::duration outdatedFor(const gateway_node& self, state::time_point now) noexcept
{
    if (!areKeysOutdated(self, now) || !self.storeNewsAt)
        return {};
    return now - *self.storeNewsAt - self.settings.limits.revoke;
}

void recordStoreNews(gateway_node& self, state::time_point now) noexcept
{
    self.storeNewsAt = now;
}

bool adoptStoreNews(gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now) noexcept
{
    if (!self.settings.limits.strictRevoke || !message.storeNewsAt || !self.clock.offset
        || message.asOf > self.published.asOf)
        return false;
    const auto heardAt = std::min(*message.storeNewsAt - *self.clock.offset, now);
    const auto before = self.storeNewsAt;
    self.storeNewsAt = std::max(before.value_or(heardAt), heardAt);
    return !before || heardAt - *before > storeNewsInterval(self.settings.limits);
}

std::optional<state::time_point> storeNewsForPeers(const gateway_node& self) noexcept
{
    if (!self.settings.limits.strictRevoke || !self.storeNewsAt)
        return std::nullopt;
    const auto inFleetTime = fleetTime(self, *self.storeNewsAt);
    // The fleet's time starts at zero; an earlier time cannot be sent.
    return inFleetTime ? std::optional { std::max(*inFleetTime, state::time_point {}) } : std::nullopt;
}

bool isStoreNewsDue(gateway_node& self, state::time_point now) noexcept
{
    const auto& limits = self.settings.limits;
    if (!limits.strictRevoke || !self.storeWatch.answered || now - self.storeNewsSharedAt < storeNewsInterval(limits))
        return false;
    self.storeNewsSharedAt = now;
    return true;
}

} // namespace acaciaslip::coordination::gateway
