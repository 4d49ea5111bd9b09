#include "coordination/gateway/store_watch.hpp"

#include "coordination/gateway/fleet_relay.hpp"
#include "coordination/gateway/fleet_view.hpp"
#include "coordination/gateway/membership.hpp"
#include "coordination/gateway/store_news.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::store_access;

constexpr int maxTryingHosts = 3; ///< hosts of a data centre that keep trying while the store answers none of them
constexpr state::duration searchSpread = std::chrono::milliseconds { 250 }; ///< in which every host asks once
constexpr double searchSteps = 1024; ///< resolution of the random times
constexpr state::duration watcherHeartbeatInterval = std::chrono::milliseconds { 300 };
constexpr state::duration watcherTimeout = std::chrono::milliseconds { 900 }; ///< tolerates two lost heartbeats
/// Time for which other hosts must watch the store without interruption before this one stops.
constexpr state::duration stepDownDelay = std::chrono::milliseconds { 500 };
/// Time to find a host that can reach the store, to read a change there and to distribute it to all other hosts.
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

/// Whether a watcher of the own data centre reaches the store, and this host can decode what its peers relay.
bool hasUsableWatcher(const gateway_node& self, state::time_point now)
{
    return countWatchers(self, store_access::answers, now) > 0 && !isRelayUnreadable(self, now);
}

/// Whether this host is one of those that keep trying. It must not depend on reports of others that try: the searches
/// of all hosts may fail at the same moment.
bool mayKeepTrying(const gateway_node& self)
{
    const auto before = std::count_if(self.peers.begin(), self.peers.end(), [&](const auto& entry) {
        return entry.first < self.settings.ip && !entry.second.leaving
            && entry.second.dataCentre == self.settings.dataCentre;
    });
    return before < maxTryingHosts;
}

/// Whether this host's watch is redundant. A watcher that cannot reach the store is redundant beside any that can.
bool isCoveredByOthers(const gateway_node& self, state::time_point now)
{
    if (self.published.asOf == 0 || isRelayUnreadable(self, now))
        return false;
    if (self.storeWatch.answered)
        return countBefore(self, store_access::answers, now) > 0;
    return countWatchers(self, store_access::answers, now) > 0
        || countBefore(self, store_access::away, now) >= maxTryingHosts;
}

/// Creates a heartbeat that contains a delta, if there is one, instead of known peers and limits.
state::gateway::peer_heartbeat makeRelayHeartbeat(const gateway_node& self,
    const std::optional<state::gateway::fleet_delta>& delta, state::time_point now, random_generator& random)
{
    auto heartbeat = makeHeartbeat(self, now, random);
    heartbeat.peers.clear();
    if (delta)
        heartbeat.limits.clear();
    heartbeat.delta = delta;
    return heartbeat;
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

log_event describeDuty(const gateway_node& self, state::time_point now)
{
    return { log_level::info, "store_duty",
        { { "follows", self.storeWatch.watching ? "yes" : "no" },
            { "answered", std::to_string(countWatchers(self, store_access::answers, now)) },
            { "trying", std::to_string(countWatchers(self, store_access::away, now)) },
            { "revision", std::to_string(self.published.asOf) } } };
}

void startWatch(gateway_node& self, effect_list& effects)
{
    self.storeWatch.watching = true;
    self.storeWatch.answered = false;
    self.storeWatch.redundantSince.reset();
    effects.emplace_back(watch_store { true, self.published.asOf });
}

void stopWatch(gateway_node& self, effect_list& effects)
{
    self.storeWatch.watching = false;
    self.storeWatch.answered = false;
    self.storeLostAt.reset(); // whether the store responds is then learned from other hosts
    effects.emplace_back(watch_store { false, self.published.asOf });
}

/// Calls the store, unless another host has reached it since the search was scheduled.
void startSearch(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (hasUsableWatcher(self, now))
        return self.storeWatch.searchAt.reset();
    ++self.counters.storeSearches;
    self.storeWatch.searching = true;
    self.storeWatch.searchAt = now + self.settings.limits.stableWindow;
    startWatch(self, effects);
}

/// Delay of this host in a search. The number of hosts that have asked grows exponentially: usually the store answers
/// the first of them, and otherwise the last one still asks within `searchSpread`.
state::duration searchDelay(const gateway_node& self, random_generator& random)
{
    const auto hosts = static_cast<double>(std::count_if(self.peers.begin(), self.peers.end(),
        [&](const auto& entry) { return entry.second.dataCentre == self.settings.dataCentre; }));
    const double position = random(static_cast<std::uint32_t>(searchSteps)) / searchSteps;
    return std::chrono::duration_cast<state::duration>(
        searchSpread * (std::log1p(position * (hosts + 1)) / std::log1p(hosts + 1)));
}

/// Schedules a search while this host cannot learn of changes from a watcher in its data centre.
void planSearch(gateway_node& self, state::time_point now, random_generator& random)
{
    if (hasUsableWatcher(self, now))
        self.storeWatch.searchAt.reset();
    else if (!self.storeWatch.searchAt)
        self.storeWatch.searchAt = now + searchDelay(self, random);
}

/// Ends a watch that others make unnecessary.
void stopRedundantWatch(gateway_node& self, state::time_point now, effect_list& effects)
{
    auto& since = self.storeWatch.redundantSince;
    if (!isCoveredByOthers(self, now))
        return since.reset();
    if (!since)
        since = now;
    if (now - *since < stepDownDelay)
        return;
    stopWatch(self, effects);
    effects.emplace_back(describeDuty(self, now));
}

bool isRelayable(const state::gateway::fleet_delta& delta) noexcept
{
    const auto& changes = delta.changes;
    return !delta.snapshot && !changes.config.value && !delta.configChanges
        && changes.servers.size() + changes.evacuations.size() <= maxRelayedChanges;
}

} // namespace

state::duration maxStoreSilence(const fleet_limits& limits) noexcept
{
    return std::max(limits.configApply - changeSpreadTime, minStoreSilence);
}

store_access findStoreAccess(const gateway_node& self) noexcept
{
    if (!self.storeWatch.watching || self.storeWatch.searching || self.published.asOf == 0)
        return store_access::none;
    return self.storeWatch.answered ? store_access::answers : store_access::away;
}

void handleStoreAnswered(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (!self.storeWatch.watching)
        return;
    self.storeWatch.answered = true;
    self.storeWatch.searchAt.reset();
    self.storeWatch.nextStepAt = now;
    if (std::exchange(self.storeWatch.searching, false))
        effects.emplace_back(describeDuty(self, now));
    handleStoreRecovered(self, now, effects);
}

void handleStoreUnanswered(gateway_node& self, const store_lost& lost, state::time_point now, effect_list& effects)
{
    if (!self.storeWatch.watching)
        return;
    self.storeWatch.answered = false;
    self.storeWatch.nextStepAt = now;
    const bool searched = std::exchange(self.storeWatch.searching, false);
    if (searched && (isCoveredByOthers(self, now) || !mayKeepTrying(self))) {
        effects.emplace_back(log_event { log_level::info, "store_search",
            { { "reason", lost.reason }, { "revision", std::to_string(self.published.asOf) } } });
        return stopWatch(self, effects);
    }
    if (searched)
        effects.emplace_back(describeDuty(self, now));
    handleStoreLost(self, lost, now, effects);
}

void handlePeerStoreAccess(gateway_node& self, const state::gateway::peer_state& before,
    const state::gateway::peer_heartbeat& message, state::time_point now) noexcept
{
    const bool lost = before.store == store_access::answers && message.store != store_access::answers;
    if (lost && message.dataCentre == self.settings.dataCentre)
        self.storeWatch.nextStepAt = now;
}

void updateStoreWatch(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& watch = self.storeWatch;
    if (!watch.watching && watch.searchAt && now >= *watch.searchAt)
        startSearch(self, now, effects);
    if (now < watch.nextStepAt)
        return;
    watch.nextStepAt = now + watcherHeartbeatInterval;
    if (!watch.watching && self.published.asOf == 0) {
        startWatch(self, effects);
        effects.emplace_back(describeDuty(self, now));
    } else if (!watch.watching)
        planSearch(self, now, random);
    else if (!watch.searching)
        stopRedundantWatch(self, now, effects);
    if (findStoreAccess(self) != store_access::none && self.phase < node_phase::leaving)
        notifyDataCentre(self, std::nullopt, now, random, effects);
    if (isStoreNewsDue(self, now))
        notifyOtherDataCentres(self, std::nullopt, now, random, effects);
}

state::time_point nextStoreWatchStep(const gateway_node& self) noexcept
{
    const auto& watch = self.storeWatch;
    const bool waits = !watch.watching && watch.searchAt;
    return waits ? std::min(*watch.searchAt, watch.nextStepAt) : watch.nextStepAt;
}

void relayChanges(gateway_node& self, const state::gateway::fleet_delta& delta, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto relayed = isRelayable(delta) ? std::optional(delta) : std::nullopt;
    notifyDataCentre(self, relayed, now, random, effects);
    notifyOtherDataCentres(self, relayed, now, random, effects);
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

void forwardChanges(gateway_node& self, const state::gateway::fleet_delta& delta, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (!isKnownInDataCentre(self))
        notifyDataCentre(self, isRelayable(delta) ? std::optional(delta) : std::nullopt, now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
