#include "coordination/gateway/store_duty.hpp"

#include "coordination/gateway/membership.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr int wantedFollowers = 2; ///< in a data centre: one may stop without anybody noticing late
constexpr state::duration followerHeartbeat = std::chrono::milliseconds { 400 };
constexpr state::duration followerSilentAfter = std::chrono::milliseconds { 1000 }; ///< two lost heartbeats
constexpr state::duration stepDownAfter = std::chrono::seconds { 2 }; ///< with enough others all the while
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

void tellDataCentre(node& self, const std::optional<state::gateway::fleet_delta>& delta, state::time_point now,
    random_generator& random, effect_list& effects)
{
    for (const auto& [ip, peer] : self.peers) {
        if (peer.dataCentre != self.settings.dataCentre)
            continue;
        auto heartbeat = makeHeartbeat(self, now, random);
        heartbeat.peers.clear();
        heartbeat.delta = delta;
        effects.emplace_back(tell_peer { ip, std::move(heartbeat) });
    }
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
        tellDataCentre(self, std::nullopt, now, random, effects);
}

state::time_point nextStoreDutyStep(const node& self) noexcept
{
    return self.duty.nextStepAt;
}

void relayChanges(node& self, const state::gateway::fleet_delta& delta, state::time_point now, random_generator& random,
    effect_list& effects)
{
    tellDataCentre(self, isRelayable(delta) ? std::optional(delta) : std::nullopt, now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
