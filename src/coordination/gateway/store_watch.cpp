#include "coordination/gateway/store_watch.hpp"

#include "coordination/gateway/membership.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::store_access;

constexpr int wantedWatchers = 1; ///< per data centre; hosts of other data centres relay changes too, by gossip
/// While the store rejects the watching hosts, this many hosts of a data centre keep trying, because the store may
/// accept others.
constexpr int maxTryingHosts = 3;
constexpr state::duration watcherHeartbeatInterval = std::chrono::milliseconds { 300 };
constexpr state::duration watcherTimeout = std::chrono::milliseconds { 900 }; ///< tolerates two lost heartbeats
/// Time for which other hosts must watch the store without interruption before this one stops.
constexpr state::duration stepDownDelay = std::chrono::milliseconds { 500 };
/// Time for a watcher to read a change on a new connection and for the hosts of its data centre to fetch it.
constexpr state::duration changeSpreadTime = std::chrono::milliseconds { 700 };
constexpr state::duration minStoreSilence = std::chrono::milliseconds { 600 }; ///< limits the calls of short bounds
/// A delta with more changes than this is announced by its revision only, and peers fetch it.
constexpr std::size_t maxRelayedChanges = 6;

/// Whether a host of the own data centre has reported this access to the store recently.
bool isWatcher(
    const gateway_node& self, const state::gateway::peer_state& peer, store_access access, state::time_point now)
{
    return !peer.leaving && peer.dataCentre == self.settings.dataCentre && peer.store == access && peer.receivedAt
        && now - *peer.receivedAt < watcherTimeout;
}

int countBefore(const gateway_node& self, store_access access, state::time_point now)
{
    return static_cast<int>(std::count_if(self.peers.begin(), self.peers.end(), [&](const auto& entry) {
        return entry.first < self.settings.ip && isWatcher(self, entry.second, access, now);
    }));
}

int countWatchers(const gateway_node& self, store_access access, state::time_point now)
{
    return static_cast<int>(std::count_if(self.peers.begin(), self.peers.end(),
        [&](const auto& entry) { return isWatcher(self, entry.second, access, now); }));
}

bool isCoveredByOthers(const gateway_node& self, state::time_point now)
{
    if (self.published.asOf == 0)
        return false;
    return countBefore(self, store_access::answers, now) >= wantedWatchers
        || countBefore(self, store_access::away, now) >= maxTryingHosts;
}

/// Creates a heartbeat that contains a delta instead of known peers.
state::gateway::peer_heartbeat makeRelayHeartbeat(const gateway_node& self,
    const std::optional<state::gateway::fleet_delta>& delta, state::time_point now, random_generator& random)
{
    auto heartbeat = makeHeartbeat(self, now, random);
    heartbeat.peers.clear();
    heartbeat.delta = delta;
    return heartbeat;
}

void notifyDataCentre(gateway_node& self, const std::optional<state::gateway::fleet_delta>& delta,
    state::time_point now, random_generator& random, effect_list& effects)
{
    const auto heartbeat = makeRelayHeartbeat(self, delta, now, random);
    for (const auto& [ip, peer] : self.peers) {
        if (peer.dataCentre == self.settings.dataCentre)
            effects.emplace_back(send_peer_message { ip, heartbeat });
    }
}

/// Notifies one random host of each other data centre, because the watching host there may not have noticed that the
/// store has stopped responding.
void notifyOtherDataCentres(gateway_node& self, const std::optional<state::gateway::fleet_delta>& delta,
    state::time_point now, random_generator& random, effect_list& effects)
{
    std::map<state::data_centre_id, std::vector<state::gateway::peer_ip>> others;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.leaving && peer.dataCentre != self.settings.dataCentre)
            others[peer.dataCentre].push_back(ip);
    }
    const auto heartbeat = makeRelayHeartbeat(self, delta, now, random);
    for (const auto& [dataCentre, ips] : others)
        effects.emplace_back(send_peer_message { ips[random(static_cast<std::uint32_t>(ips.size()))], heartbeat });
}

/// Whether another host of the own data centre is known to have the same or a newer revision.
bool isKnownInDataCentre(const gateway_node& self)
{
    return std::any_of(self.peers.begin(), self.peers.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return peer.dataCentre == self.settings.dataCentre && peer.asOf >= self.published.asOf;
    });
}

void setWatching(gateway_node& self, bool watches, state::time_point now, effect_list& effects)
{
    if (self.storeWatch.watching == watches)
        return;
    self.storeWatch.watching = watches;
    if (!watches)
        self.storeLostAt.reset(); // whether the store responds is then learned from other hosts
    effects.emplace_back(log_event { log_level::info, "store_duty",
        { { "follows", watches ? "yes" : "no" },
            { "answered", std::to_string(countWatchers(self, store_access::answers, now)) },
            { "trying", std::to_string(countWatchers(self, store_access::away, now)) },
            { "revision", std::to_string(self.published.asOf) } } });
    effects.emplace_back(watch_store { watches, self.published.asOf });
}

bool isRelayable(const state::gateway::fleet_delta& delta) noexcept
{
    const auto& changes = delta.changes;
    return !delta.snapshot && !changes.config.value
        && changes.servers.size() + changes.evacuations.size() <= maxRelayedChanges;
}

} // namespace

state::duration maxStoreSilence(const fleet_limits& limits) noexcept
{
    return std::max(limits.configApply - changeSpreadTime, minStoreSilence);
}

store_access findStoreAccess(const gateway_node& self) noexcept
{
    if (!self.storeWatch.watching || self.published.asOf == 0)
        return store_access::none;
    return self.storeLostAt ? store_access::away : store_access::answers;
}

void updateStoreWatch(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    if (now < self.storeWatch.nextStepAt)
        return;
    self.storeWatch.nextStepAt = now + watcherHeartbeatInterval;
    if (!isCoveredByOthers(self, now)) {
        self.storeWatch.redundantSince.reset();
        setWatching(self, true, now, effects);
    } else if (!self.storeWatch.redundantSince)
        self.storeWatch.redundantSince = now;
    else if (now - *self.storeWatch.redundantSince >= stepDownDelay)
        setWatching(self, false, now, effects);
    if (findStoreAccess(self) != store_access::none && self.phase < node_phase::leaving)
        notifyDataCentre(self, std::nullopt, now, random, effects);
}

state::time_point nextStoreWatchStep(const gateway_node& self) noexcept
{
    return self.storeWatch.nextStepAt;
}

void relayChanges(gateway_node& self, const state::gateway::fleet_delta& delta, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto relayed = isRelayable(delta) ? std::optional(delta) : std::nullopt;
    notifyDataCentre(self, relayed, now, random, effects);
    notifyOtherDataCentres(self, relayed, now, random, effects);
}

void forwardChanges(gateway_node& self, const state::gateway::fleet_delta& delta, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (!isKnownInDataCentre(self))
        notifyDataCentre(self, isRelayable(delta) ? std::optional(delta) : std::nullopt, now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
