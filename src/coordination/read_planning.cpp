#include "coordination/read_planning.hpp"

#include "coordination/membership.hpp"
#include "coordination/node.hpp"
#include "coordination/settings_distribution.hpp"
#include "coordination/value_keys.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration readInterval = std::chrono::milliseconds { 100 }; ///< mean interval between a value's watches
constexpr state::duration minBackoff = std::chrono::milliseconds { 100 };
/// Short enough that a change is active within 5 s after the platform responds again.
constexpr state::duration maxBackoff = std::chrono::seconds { 2 };
constexpr std::uint32_t maxDoublings = 7;
/// For reads from peers; high, since they cost little and another peer may soon have the value.
constexpr std::uint32_t missesPerDoubling = 6;
constexpr state::duration readTimeoutMargin = std::chrono::seconds { 10 }; ///< added to the wait time of a read
constexpr state::duration watcherCheckInterval = std::chrono::milliseconds { 200 };
constexpr std::uint32_t peersBeforePlatform = 3;
constexpr std::size_t peersReadAtStart = 2;
constexpr std::size_t seedsReadAtStart = 3;

/// A random duration, uniformly distributed between 0.5 and 1.5 times the given one.
state::duration jitter(state::duration span, random_generator& random)
{
    constexpr std::uint32_t steps = 1024;
    return span / 2 + span / steps * random(steps);
}

state::duration backoff(std::uint32_t failures, random_generator& random)
{
    const auto doubled = minBackoff * (1U << std::min(failures, maxDoublings));
    return jitter(std::min(doubled, maxBackoff), random);
}

/// Delays the next read after one that failed or returned nothing newer; the delay grows with the number of such reads.
void recordMiss(key_progress& progress, state::value_source source, state::time_point now, random_generator& random)
{
    progress.nextPullAt = now + backoff(progress.peerMisses / missesPerDoubling, random);
    if (source == state::value_source::peer)
        ++progress.peerMisses;
    else
        progress.nextPlatformPullAt = now + backoff(progress.platformMisses++, random);
}

bool takePlatformCall(node& self, state::time_point now)
{
    auto& bucket = self.distribution.platformCalls;
    const auto listed = self.fleet.entryHosts.size();
    const double hosts = listed == 0 ? assumedEntryHosts : static_cast<double>(listed);
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    const double burst = std::max(minCallBurst, fleetCallBurst / hosts);
    bucket.tokens = std::min(burst, bucket.tokens + elapsed * fleetCallsPerSecond / hosts);
    bucket.filledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

bool isReading(const node& self, const state::value_key& key, read_purpose purpose)
{
    return std::any_of(self.distribution.reads.begin(), self.distribution.reads.end(),
        [&](const outstanding_read& read) { return read.key == key && read.purpose == purpose; });
}

void startRead(node& self, outstanding_read read, state::duration wait, state::time_point now, effect_list& effects)
{
    read.requestedAt = now;
    read.timeoutAt = now + wait + readTimeoutMargin;
    effects.emplace_back(
        fetch_value { read.key, heldRevision(self, read.key), read.source, read.address, wait, read.requestedAt });
    self.distribution.reads.push_back(std::move(read));
}

bool readPlatform(node& self, const state::value_key& key, read_purpose purpose, state::duration wait,
    state::time_point now, effect_list& effects)
{
    if (self.settings.platformAddresses.empty() || !takePlatformCall(self, now))
        return false;
    ++self.counters.platformReads;
    const auto& address
        = self.settings.platformAddresses[self.distribution.platformIndex % self.settings.platformAddresses.size()];
    startRead(self, { key, state::value_source::platform, address, purpose, {}, {} }, wait, now, effects);
    return true;
}

void readPeer(node& self, const state::value_key& key, const std::string& address, read_purpose purpose,
    state::time_point now, effect_list& effects)
{
    ++self.counters.peerReads;
    startRead(self, { key, state::value_source::peer, address, purpose, {}, {} }, {}, now, effects);
}

/// Whether a peer has reported a revision newer than the one that this node has.
/// \details Peers report no revisions of indexed values. For those, the peer's index must be at least as new as the one
/// held here.
bool hasNewer(const node& self, const state::peer_record& peer, const state::value_key& key)
{
    const bool direct = isDirect(self, key);
    const state::value_key reportedKey = direct ? key : state::value_key(indexKey);
    const auto found = peer.revisions.find(reportedKey);
    const auto required = direct ? heldRevision(self, key) + 1 : heldRevision(self, reportedKey);
    return found != peer.revisions.end() && found->second >= required;
}

/// Picks a random peer to read from: one that has the value, preferably in this node's data centre, else any peer or
/// seed.
/// \param preferLocal if true, other data centres are used only if no peer in this node's data centre has the value
std::optional<std::string> pickPeer(
    const node& self, const state::value_key& key, bool preferLocal, state::time_point now, random_generator& random)
{
    std::vector<const std::string*> local;
    std::vector<const std::string*> remote;
    std::vector<const std::string*> any;
    for (const auto& [id, peer] : self.peers) {
        const bool has = isAlive(peer, now) && hasNewer(self, peer, key);
        auto& group = !has ? any : (peer.sameDataCentre ? local : remote);
        group.push_back(&peer.address);
    }
    for (const auto& seed : self.settings.seedPeers)
        any.push_back(&seed);
    if (!preferLocal || local.empty())
        local.insert(local.end(), remote.begin(), remote.end());
    const auto& group = local.empty() ? any : local;
    if (group.empty())
        return std::nullopt;
    return *group[random(static_cast<std::uint32_t>(group.size()))];
}

void pullOutdated(node& self, const state::value_key& key, key_progress& progress, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (now < progress.nextPullAt || isReading(self, key, read_purpose::pull))
        return;
    // A watcher is the first to learn of a change, so its peers can't have the value yet.
    const auto peersFirst = self.distribution.watching && progress.platformMisses == 0 ? 0 : peersBeforePlatform;
    if (progress.peersTried >= peersFirst && now >= progress.nextPlatformPullAt
        && readPlatform(self, key, read_purpose::pull, {}, now, effects)) {
        progress.peersTried = 0;
        return;
    }
    const auto peer = pickPeer(self, key, progress.peersTried == 0, now, random);
    if (!peer) {
        progress.peersTried = peersBeforePlatform; // no peers: the platform is next
        progress.nextPullAt = now + jitter(minBackoff, random);
        return;
    }
    ++progress.peersTried;
    readPeer(self, key, *peer, read_purpose::pull, now, effects);
}

/// Starts the next watch or safety read of a value. The first read is never a watch, so it is answered immediately.
void readDirect(node& self, const state::value_key& key, key_progress& progress, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (now < progress.nextReadAt || isReading(self, key, read_purpose::watch)
        || isReading(self, key, read_purpose::safety))
        return;
    const bool watch = self.distribution.watching && progress.platformTried;
    const auto purpose = watch ? read_purpose::watch : read_purpose::safety;
    if (!readPlatform(self, key, purpose, watch ? watchTimeout : state::duration {}, now, effects))
        progress.nextReadAt = now + jitter(readInterval, random);
}

void readAtStart(node& self, const std::vector<std::string>& addresses, state::time_point now, effect_list& effects)
{
    for (const auto& address : addresses) {
        for (const auto key : wellKnownKeys)
            readPeer(self, state::value_key(key), address, read_purpose::start, now, effects);
    }
}

/// Starts the startup reads of the well-known keys: from seeds, and from peers as soon as there are any.
void planStartReads(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    if (!self.distribution.startedAt) {
        self.distribution.startedAt = now;
        for (const auto key : wellKnownKeys)
            self.values.try_emplace(state::value_key(key));
    }
    if (self.phase != node_phase::starting)
        return;
    if (!self.distribution.seedsRead) {
        self.distribution.seedsRead = true;
        auto seeds = self.settings.seedPeers;
        seeds.resize(std::min(seeds.size(), seedsReadAtStart));
        readAtStart(self, seeds, now, effects);
    }
    if (!self.distribution.peersRead && !self.peers.empty()) {
        self.distribution.peersRead = true;
        std::vector<std::string> chosen;
        for (std::size_t count = 0; count < peersReadAtStart; ++count) {
            if (const auto peer = pickPeer(self, state::value_key(indexKey), true, now, random))
                chosen.push_back(*peer);
        }
        readAtStart(self, chosen, now, effects);
    }
}

void failTimedOutReads(node& self, state::time_point now, random_generator& random)
{
    std::vector<outstanding_read> timedOut;
    std::copy_if(self.distribution.reads.begin(), self.distribution.reads.end(), std::back_inserter(timedOut),
        [now](const outstanding_read& read) { return now >= read.timeoutAt; });
    for (const auto& read : timedOut)
        handleValueReadFailed(self, { read.key, read.source, read.address, read.requestedAt }, now, random);
}

std::optional<outstanding_read> removeRead(node& self, const state::value_key& key, state::value_source source,
    const std::string& address, state::time_point requestedAt)
{
    auto& reads = self.distribution.reads;
    const auto found = std::find_if(reads.begin(), reads.end(), [&](const outstanding_read& read) {
        return read.key == key && read.source == source && read.address == address && read.requestedAt == requestedAt;
    });
    if (found == reads.end())
        return std::nullopt;
    auto removed = std::move(*found);
    reads.erase(found);
    return removed;
}

} // namespace

void startDueReads(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    failTimedOutReads(self, now, random);
    planStartReads(self, now, random, effects);
    if (now >= self.distribution.nextWatcherCheckAt) {
        self.distribution.nextWatcherCheckAt = now + watcherCheckInterval;
        self.distribution.watching = isWatcher(self, now);
    }
    // Pulls go first. Otherwise watches that are answered immediately could use up all tokens for calls.
    for (auto& [key, progress] : self.distribution.keys) {
        if (isOutdated(self, key))
            pullOutdated(self, key, progress, now, random, effects);
    }
    for (const auto key : wellKnownKeys) {
        if (isDirect(self, key))
            readDirect(
                self, state::value_key(key), self.distribution.keys[state::value_key(key)], now, random, effects);
    }
    finishStartWhenReady(self, now, effects);
}

std::optional<read_purpose> finishRead(node& self, const value_received& received)
{
    const auto read = removeRead(self, received.key, received.source, received.fromAddress, received.requestedAt);
    if (received.source == state::value_source::platform)
        self.distribution.keys[received.key].platformTried = true;
    return read ? std::optional(read->purpose) : std::nullopt;
}

void handleUnchangedRead(node& self, const state::value_key& key, std::optional<read_purpose> purpose,
    state::value_source source, state::time_point now, random_generator& random)
{
    auto& progress = self.distribution.keys[key];
    if (purpose == read_purpose::pull)
        recordMiss(progress, source, now, random);
    else if (source == state::value_source::platform)
        progress.nextReadAt = now + jitter(self.distribution.watching ? readInterval : safetyInterval, random);
}

void handleValueReadFailed(node& self, const value_read_failed& failed, state::time_point now, random_generator& random)
{
    (void)removeRead(self, failed.key, failed.source, failed.fromAddress, failed.requestedAt);
    auto& progress = self.distribution.keys[failed.key];
    recordMiss(progress, failed.source, now, random);
    if (failed.source == state::value_source::peer)
        return;
    progress.platformTried = true;
    progress.nextReadAt = progress.nextPlatformPullAt;
    ++self.distribution.platformIndex;
}

std::size_t readDirectKeys(node& self, read_purpose purpose, state::time_point now, effect_list& effects)
{
    std::size_t started = 0;
    for (const auto key : wellKnownKeys) {
        if (isDirect(self, key) && readPlatform(self, state::value_key(key), purpose, {}, now, effects))
            ++started;
    }
    return started;
}

bool isWatcher(const node& self, state::time_point now)
{
    const auto score = [&](const state::host_id& host) {
        const auto& dataCentre = self.settings.dataCentre;
        return XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(dataCentre.data(), dataCentre.size()));
    };
    const auto ownScore = score(self.settings.id);
    std::size_t higherScores = 0;
    for (const auto& [id, peer] : self.peers) {
        const bool candidate
            = peer.listed && !peer.leaving && isAlive(peer, now) && peer.dataCentre == self.settings.dataCentre;
        higherScores += candidate && score(id) > ownScore ? 1 : 0;
    }
    return higherScores < watchersPerDataCentre;
}

} // namespace acaciaslip::coordination
