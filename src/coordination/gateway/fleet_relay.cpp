#include "coordination/gateway/fleet_relay.hpp"

#include "coordination/gateway/fleet_view.hpp"
#include "coordination/gateway/store_watch.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace acaciaslip::coordination::gateway {

namespace {

/// A host that watches the store receives a change within this time after another watching host.
constexpr state::duration storeHeadStart = std::chrono::milliseconds { 250 };
constexpr state::duration fetchPatience = std::chrono::milliseconds { 800 };
/// Delay of the next fetch after one that a peer refused, that left this host behind another peer, or that was not the
/// first to get no answer.
constexpr state::duration nextFetchDelay = std::chrono::milliseconds { 100 };
/// Time for which answers are unreadable until this host reads the store itself. Far below the time in which a change
/// must take effect.
constexpr state::duration unreadablePatience = std::chrono::milliseconds { 300 };
/// Delay of the next fetch once answers stay unreadable. It limits the bandwidth spent on large answers of no use.
constexpr state::duration unreadableFetchDelay = std::chrono::seconds { 1 };
/// Time after the latest unreadable answer until the host relies on its peers again.
constexpr state::duration unreadableExpiry = std::chrono::seconds { 60 };
constexpr std::uint32_t maxRedirections = 12; ///< of one fetch, so that hosts cannot redirect it forever
constexpr std::uint64_t loggedFetchBytes = 16384;
constexpr state::duration loggedFetchTime = std::chrono::milliseconds { 100 };

/// Returns the peer with the newest revision. Among equals, peers of the own data centre are preferred, and then the
/// one heard last, since others may be gone. A peer whose last fetch brought nothing is used only if it is the only
/// one.
const state::gateway::peer_ip* findBestSource(const gateway_node& self)
{
    const auto rank = [&](const auto& entry) {
        const auto& [ip, peer] = entry;
        return std::tuple { ip != self.fetch.failedSource, peer.asOf, peer.dataCentre == self.settings.dataCentre,
            *peer.receivedAt };
    };
    const std::pair<const state::gateway::peer_ip, state::gateway::peer_state>* best = nullptr;
    for (const auto& entry : self.peers) {
        if (!entry.second.receivedAt || entry.second.asOf <= self.published.asOf)
            continue;
        if (best == nullptr || rank(entry) > rank(*best))
            best = &entry;
    }
    return best == nullptr ? nullptr : &best->first;
}

/// Fetches of small changes are as frequent as changes, so only those that fail or take long are logged.
void logFetch(const gateway_node& self, const fetch_finished& finished, state::time_point now, effect_list& effects)
{
    const auto took = now - self.fetch.startedAt;
    if (finished.outcome == fetch_outcome::received && finished.bytes < loggedFetchBytes && took < loggedFetchTime)
        return;
    effects.emplace_back(log_event { log_level::info, "fetch",
        { { "from", self.fetch.source },
            { "outcome", std::string(state::findName(fetchOutcomeNames, finished.outcome)) },
            { "bytes", std::to_string(finished.bytes) },
            { "ms", std::to_string(static_cast<std::int64_t>(state::toMilliseconds(took))) },
            { "revision", std::to_string(self.published.asOf) } } });
}

/// Tracks since when peers have sent only answers that cannot be decoded, as hosts of another version may.
void recordReadability(fetch_state& fetch, fetch_outcome outcome, state::time_point now)
{
    if (outcome == fetch_outcome::received)
        fetch.unreadableSince.reset();
    if (outcome != fetch_outcome::unreadable)
        return;
    if (!fetch.unreadableSince || now - fetch.lastUnreadableAt >= unreadableExpiry)
        fetch.unreadableSince = now;
    fetch.lastUnreadableAt = now;
}

void startFetch(gateway_node& self, const state::gateway::peer_ip& source, state::time_point now, effect_list& effects)
{
    self.fetch.source = source;
    self.fetch.startedAt = now;
    const bool needsWhole = self.fetch.needsWhole || !self.published.config.value;
    const auto after = needsWhole ? 0 : self.published.asOf;
    effects.emplace_back(fetch_fleet { source, after, fetchPatience });
}

} // namespace

bool isRelayUnreadable(const gateway_node& self, state::time_point now) noexcept
{
    const auto& since = self.fetch.unreadableSince;
    return since && now - *since >= unreadablePatience && now - self.fetch.lastUnreadableAt < unreadableExpiry;
}

void handleFleetUpdate(gateway_node& self, const fleet_update_received& published, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto before = self.published.asOf;
    applyFleetUpdate(self, published, now, effects);
    const auto& changes = published.delta.configChanges;
    self.fetch.needsWhole = changes && changes->revisionNumber > self.published.config.revisionNumber;
    if (self.published.asOf <= before)
        return;
    self.fetch.failedSource.clear();
    if (published.source == fleet_source::store)
        relayChanges(self, published.delta, now, random, effects);
    else
        forwardChanges(self, published.delta, now, random, effects);
}

void applyRelayedChanges(gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (message.delta)
        handleFleetUpdate(self, { *message.delta, fleet_source::peer }, now, random, effects);
    if (message.asOf <= self.published.asOf || self.fetch.fetchAt || !self.fetch.source.empty())
        return;
    const bool expectsStore = findStoreAccess(self) == state::gateway::store_access::answers;
    self.fetch.fetchAt = now + (expectsStore ? storeHeadStart : state::duration {});
}

void handleFetchFinished(
    gateway_node& self, const fetch_finished& finished, state::time_point now, effect_list& effects)
{
    ++self.counters.fetchesByOutcome[finished.outcome];
    self.counters.fetchedBytes += finished.bytes;
    logFetch(self, finished, now, effects);
    recordReadability(self.fetch, finished.outcome, now);
    const auto source = std::exchange(self.fetch.source, {});
    self.fetch.fetchAt.reset();
    const bool follows = finished.outcome == fetch_outcome::redirected && self.peers.contains(finished.next)
        && self.fetch.redirections < maxRedirections;
    if (follows) {
        ++self.fetch.redirections;
        return startFetch(self, finished.next, now, effects);
    }
    self.fetch.redirections = 0;
    const bool firstFailure = self.fetch.failedSource.empty();
    if (finished.outcome != fetch_outcome::received)
        self.fetch.failedSource = source;
    const auto* const next = findBestSource(self);
    if (next == nullptr)
        return;
    // Another host is asked at once, but only after the first failure: hosts that are dead refuse connections at once,
    // so that asking them in turn would be a loop.
    const bool atOnce = finished.outcome == fetch_outcome::no_answer && firstFailure && *next != source;
    const auto delay = isRelayUnreadable(self, now) ? unreadableFetchDelay : nextFetchDelay;
    self.fetch.fetchAt = atOnce ? now : now + delay;
}

void processFetches(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (!self.fetch.fetchAt || now < *self.fetch.fetchAt || !self.fetch.source.empty())
        return;
    self.fetch.fetchAt.reset();
    if (const auto* source = findBestSource(self)) {
        startFetch(self, *source, now, effects);
        if (self.storeWatch.watching)
            effects.emplace_back(reread_store {});
    }
}

std::optional<state::time_point> nextFetchStep(const gateway_node& self) noexcept
{
    return self.fetch.source.empty() ? self.fetch.fetchAt : std::nullopt;
}

} // namespace acaciaslip::coordination::gateway
