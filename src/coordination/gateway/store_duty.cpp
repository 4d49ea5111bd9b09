#include "coordination/gateway/store_duty.hpp"

#include "coordination/gateway/membership.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr int wantedFollowers = 1; ///< in a data centre; those of the others tell of changes too
constexpr state::duration followerHeartbeat = std::chrono::milliseconds { 300 };
constexpr state::duration followerSilentAfter = std::chrono::milliseconds { 900 }; ///< two lost heartbeats
/// A host that has just started hears from others within this time, and need not read the store.
constexpr state::duration startDelay = std::chrono::milliseconds { 120 };
constexpr state::duration stepDownAfter = std::chrono::milliseconds { 500 }; ///< with enough others all the while
/// A delta with more changes than this is told as a revision only; peers fetch it.
constexpr std::size_t mostRelayed = 6;

int countFollowersBefore(const node& self, state::time_point now)
{
    return static_cast<int>(std::count_if(self.peers.begin(), self.peers.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return entry.first < self.settings.ip && peer.dataCentre == self.settings.dataCentre && peer.followsStore
            && peer.heardAt && now - *peer.heardAt < followerSilentAfter;
    }));
}

enum class audience { data_centre, everybody };

void tellPeers(node& self, audience told, const std::optional<state::gateway::fleet_delta>& delta,
    state::time_point now, random_generator& random, effect_list& effects)
{
    auto heartbeat = makeHeartbeat(self, now, random);
    heartbeat.peers.clear();
    heartbeat.delta = delta;
    for (const auto& [ip, peer] : self.peers) {
        if (told == audience::everybody || peer.dataCentre == self.settings.dataCentre)
            effects.emplace_back(tell_peer { ip, heartbeat });
    }
}

/// Seeds read the store at once, for the others to ask them; a host without any does too.
bool mayWaitForPeers(const node& self, state::time_point now)
{
    const auto& seeds = self.settings.seeds;
    const bool isSeed = std::find(seeds.begin(), seeds.end(), self.settings.ip) != seeds.end();
    return !seeds.empty() && !isSeed && now - self.membership.startedAt < startDelay;
}

void setFollowing(node& self, bool follows, effect_list& effects)
{
    if (self.duty.follows == follows)
        return;
    self.duty.follows = follows;
    effects.emplace_back(log_event { log_level::info, "store_duty", { { "follows", follows ? "yes" : "no" } } });
    effects.emplace_back(follow_store { follows, self.published.asOf });
}

bool isRelayable(const state::gateway::fleet_delta& delta) noexcept
{
    const auto& changes = delta.changes;
    return !delta.snapshot && !changes.config.value
        && changes.servers.size() + changes.evacuations.size() <= mostRelayed;
}

} // namespace

void advanceStoreDuty(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    if (now < self.duty.nextStepAt)
        return;
    if (mayWaitForPeers(self, now)) {
        self.duty.nextStepAt = self.membership.startedAt + startDelay;
        return;
    }
    self.duty.nextStepAt = now + followerHeartbeat;
    const bool enough = countFollowersBefore(self, now) >= wantedFollowers && self.published.asOf > 0;
    if (!enough) {
        self.duty.enoughSince.reset();
        // A store that is lost here may answer the others: it is tried on, but they are not told that it is followed.
        setFollowing(self, true, effects);
    } else if (!self.duty.enoughSince)
        self.duty.enoughSince = now;
    else if (now - *self.duty.enoughSince >= stepDownAfter)
        setFollowing(self, false, effects);
    if (self.duty.follows && !self.storeLostAt && self.published.asOf > 0 && self.phase < node_phase::leaving)
        tellPeers(self, audience::data_centre, std::nullopt, now, random, effects);
}

state::time_point nextStoreDutyStep(const node& self) noexcept
{
    return self.duty.nextStepAt;
}

void relayChanges(node& self, const state::gateway::fleet_delta& delta, state::time_point now, random_generator& random,
    effect_list& effects)
{
    tellPeers(
        self, audience::everybody, isRelayable(delta) ? std::optional(delta) : std::nullopt, now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
