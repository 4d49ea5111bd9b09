#include "coordination/state_refresh.hpp"

#include "coordination/node.hpp"
#include "coordination/peer_messaging.hpp"
#include "coordination/read_planning.hpp"
#include "coordination/settings_distribution.hpp"
#include "coordination/value_keys.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

bool hasPlatformAnswered(const node& self)
{
    return std::all_of(wellKnownKeys.begin(), wellKnownKeys.end(), [&](std::string_view key) {
        return !isDirect(self, key) || self.refresh.platformAnswered.contains(state::value_key(key));
    });
}

/// Ends the refresh once a peer or the platform has answered and no known newer revision is missing.
void endRefreshIfComplete(node& self)
{
    const bool answered = self.refresh.peerAnswered || hasPlatformAnswered(self);
    if (self.refresh.queryId == 0 || !answered || isAnyOutdated(self))
        return;
    self.refresh.queryId = 0;
    self.refresh.usingStaleState = false;
    self.staleSince.reset();
}

void proceedWithStaleState(node& self, effect_list& effects)
{
    self.staleSince.reset();
    self.refresh.usingStaleState = true;
    ++self.refresh.timeouts;
    effects.emplace_back(log_event { log_level::warning, "old_picture", {} });
}

void beginRefresh(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    ++self.counters.processPauses;
    effects.emplace_back(log_event { log_level::warning, "paused",
        { { "ms", std::to_string(static_cast<std::int64_t>(state::toMilliseconds(now - self.lastEventAt))) } } });
    self.staleSince = now;
    self.refresh.queryId = std::uint64_t { 1 } + random();
    self.refresh.startedAt = now;
    self.refresh.peerAnswered = false;
    self.refresh.platformAnswered.clear();
    const auto peers = queryPeers(self, self.refresh.queryId, now, random, effects);
    const auto reads = readDirectKeys(self, read_purpose::refresh, now, effects);
    if (peers + reads == 0)
        proceedWithStaleState(self, effects);
}

} // namespace

bool isStateStale(const node& self, state::time_point now) noexcept
{
    return self.staleSince.has_value() && now - *self.staleSince < refreshTimeout;
}

void detectPause(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    if (self.phase == node_phase::starting)
        return;
    if (now - self.lastEventAt >= pauseThreshold)
        beginRefresh(self, now, random, effects);
    else if (self.staleSince && !isStateStale(self, now))
        proceedWithStaleState(self, effects);
}

void handleRefreshReply(node& self, const state::peer_message& answer, state::time_point /*now*/)
{
    if (self.refresh.queryId == 0 || answer.queryReplyTo != self.refresh.queryId)
        return;
    self.refresh.peerAnswered = true;
    endRefreshIfComplete(self);
}

void handleRefreshRead(node& self, const value_received& received, state::time_point /*now*/)
{
    if (self.refresh.queryId == 0)
        return;
    if (received.source == state::value_source::platform && received.requestedAt >= self.refresh.startedAt)
        self.refresh.platformAnswered.insert(received.key);
    endRefreshIfComplete(self);
}

} // namespace acaciaslip::coordination
