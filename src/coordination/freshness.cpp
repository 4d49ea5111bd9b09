#include "coordination/freshness.hpp"

#include "coordination/node.hpp"
#include "coordination/peer_telling.hpp"
#include "coordination/read_planning.hpp"
#include "coordination/settings_spread.hpp"
#include "coordination/value_keys.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

bool hasPlatformAnswered(const node& self)
{
    return std::all_of(wellKnownKeys.begin(), wellKnownKeys.end(), [&](std::string_view key) {
        return !isDirect(self, key) || self.freshness.platformAnswered.contains(state::value_key(key));
    });
}

/// Ends the refresh once a peer or the platform has answered and no known newer revision is missing.
void endRefreshIfComplete(node& self)
{
    const bool answered = self.freshness.peerAnswered || hasPlatformAnswered(self);
    if (self.freshness.queryId == 0 || !answered || isAnyLacking(self))
        return;
    self.freshness.queryId = 0;
    self.freshness.onOldPicture = false;
    self.suspectSince.reset();
}

void proceedWithStaleState(node& self, effect_list& effects)
{
    self.suspectSince.reset();
    self.freshness.onOldPicture = true;
    ++self.freshness.unanswered;
    effects.emplace_back(log_event { log_level::warning, "old_picture", {} });
}

void beginRefresh(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    ++self.counters.pauses;
    effects.emplace_back(log_event { log_level::warning, "paused",
        { { "ms", std::to_string(static_cast<std::int64_t>(state::toMilliseconds(now - self.lastEventAt))) } } });
    self.suspectSince = now;
    self.freshness.queryId = std::uint64_t { 1 } + random();
    self.freshness.startedAt = now;
    self.freshness.peerAnswered = false;
    self.freshness.platformAnswered.clear();
    const auto peers = queryPeers(self, self.freshness.queryId, now, random, effects);
    const auto reads = readDirectKeys(self, read_purpose::refresh, now, effects);
    if (peers + reads == 0)
        proceedWithStaleState(self, effects);
}

} // namespace

bool isPictureSuspect(const node& self, state::time_point now) noexcept
{
    return self.suspectSince.has_value() && now - *self.suspectSince < refreshBound;
}

void noteTimePassed(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    if (self.phase == node_phase::starting)
        return;
    if (now - self.lastEventAt >= pauseThreshold)
        beginRefresh(self, now, random, effects);
    else if (self.suspectSince && !isPictureSuspect(self, now))
        proceedWithStaleState(self, effects);
}

void handleRefreshReply(node& self, const state::peer_message& answer, state::time_point /*now*/)
{
    if (self.freshness.queryId == 0 || answer.answerTo != self.freshness.queryId)
        return;
    self.freshness.peerAnswered = true;
    endRefreshIfComplete(self);
}

void handleRefreshRead(node& self, const value_received& received, state::time_point /*now*/)
{
    if (self.freshness.queryId == 0)
        return;
    if (received.source == state::value_source::platform && received.askedAt >= self.freshness.startedAt)
        self.freshness.platformAnswered.insert(received.key);
    endRefreshIfComplete(self);
}

} // namespace acaciaslip::coordination
