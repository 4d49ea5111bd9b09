#include "coordination/gateway/membership.hpp"

#include "coordination/gateway/allowance_exchange.hpp"
#include "coordination/gateway/class_demand.hpp"
#include "coordination/gateway/fleet_clock.hpp"
#include "coordination/gateway/fleet_relay.hpp"
#include "coordination/gateway/fleet_view.hpp"
#include "coordination/gateway/lethal_requests.hpp"
#include "coordination/gateway/peer_log.hpp"
#include "coordination/gateway/random_sample.hpp"
#include "coordination/gateway/server_limit.hpp"
#include "coordination/gateway/store_news.hpp"
#include "coordination/gateway/store_watch.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::peer_heartbeat;
using state::gateway::peer_ip;
using state::gateway::peer_state;

constexpr state::duration gossipInterval = std::chrono::seconds { 1 };
constexpr std::size_t learningPeersPerRound = 2; ///< hosts contacted per gossip round during the learning period
/// In one of this many rounds the target may be in any data centre, otherwise it is in the own one, because traffic
/// between data centres is expensive.
constexpr std::uint64_t anyDataCentreRounds = 3;
constexpr std::size_t peersPerHeartbeat = 100; ///< known peers in one heartbeat; keeps it within one datagram
constexpr std::size_t bytesPerPeer = 7; ///< encoded; other contents take the place of peers
constexpr std::size_t candidatesPerHeartbeat = 200; ///< chosen at random; the most recent of them are sent
/// A peer is removed after the longer of these times. Gossip about a host arrives the more rarely, the more hosts share
/// the heartbeats' room.
constexpr state::duration minPeerTimeout = std::chrono::seconds { 15 };
constexpr state::duration peerTimeoutPerHundredHosts = std::chrono::seconds { 20 };
constexpr state::duration initialSeedInterval = std::chrono::milliseconds { 40 }; ///< while no host has answered
constexpr state::duration seedInterval = std::chrono::milliseconds { 500 }; ///< likewise, once the start is longer ago
constexpr state::duration learningPeriod = std::chrono::seconds { 10 }; ///< after the start, heartbeats request a reply
/// A host that disappears stays in the count for this time, so that a host that is only cut off does not raise the
/// budget shares of the others at once.
constexpr state::duration hostCountHold = std::chrono::seconds { 20 };

/// Time after which a host that nobody has heard from is removed.
state::duration findPeerTimeout(const gateway_node& self)
{
    constexpr int hundred = 100;
    const auto hosts = static_cast<state::duration::rep>(self.peers.size() + 1);
    return std::max(minPeerTimeout, peerTimeoutPerHundredHosts * hosts / hundred);
}

void recordPeer(
    gateway_node& self, const peer_ip& ip, const state::data_centre_id& dataCentre, state::time_point lastSeenAt)
{
    if (ip == self.settings.ip || ip.empty())
        return;
    auto& peer = self.peers[ip];
    peer.dataCentre = dataCentre;
    peer.lastSeenAt = std::max(peer.lastSeenAt, lastSeenAt);
}

void removeTimedOutPeers(gateway_node& self, state::time_point now, effect_list& effects)
{
    std::vector<std::pair<peer_ip, state::data_centre_id>> lost;
    const auto timeout = findPeerTimeout(self);
    std::erase_if(self.peers, [&](const auto& entry) {
        const bool timedOut = now - entry.second.lastSeenAt >= timeout;
        if (timedOut)
            lost.emplace_back(entry.first, entry.second.dataCentre);
        return timedOut;
    });
    logLostPeers(lost, effects);
}

void countHosts(gateway_node& self, state::time_point now)
{
    const auto staying = [](const auto& entry) { return !entry.second.leaving; };
    const auto hosts = static_cast<std::uint32_t>(std::count_if(self.peers.begin(), self.peers.end(), staying)) + 1;
    if (hosts >= self.share.hosts || !self.membership.hostsCounted
        || now - self.membership.peakCountAt >= hostCountHold) {
        // Until a host has answered, the fleet may be large.
        const bool known = !self.peers.empty() || self.settings.seeds.empty() || self.membership.hostsCounted;
        if (!known)
            return;
        self.share.hosts = hosts;
        self.membership.hostsCounted = true;
        self.membership.peakCountAt = now;
    }
    const auto before = std::count_if(
        self.peers.begin(), self.peers.end(), [&](const auto& entry) { return entry.first < self.settings.ip; });
    self.share.rank = static_cast<std::uint32_t>(before);
}

void contactSeeds(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    for (const auto& seed : self.settings.seeds) {
        if (seed == self.settings.ip)
            continue;
        auto heartbeat = makeHeartbeat(self, now, random);
        heartbeat.replyRequested = true;
        effects.emplace_back(send_peer_message { seed, std::move(heartbeat) });
    }
}

/// Hosts that are shutting down do not count, since they will stop soon.
bool hasNoPeers(const gateway_node& self)
{
    return std::none_of(self.peers.begin(), self.peers.end(), [](const auto& entry) { return !entry.second.leaving; });
}

/// During the learning period, several hosts of any data centre are contacted per round; later, one per round.
std::vector<peer_ip> chooseTargets(gateway_node& self, bool isLearning, random_generator& random)
{
    const bool anyDataCentre = isLearning || self.membership.gossipRounds++ % anyDataCentreRounds == 0;
    std::vector<peer_ip> candidates;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.leaving && (anyDataCentre || peer.dataCentre == self.settings.dataCentre))
            candidates.push_back(ip);
    }
    return pickRandom(std::move(candidates), isLearning ? learningPeersPerRound : 1, random);
}

void gossip(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    const bool isLearning = now - self.membership.startedAt < learningPeriod;
    for (const auto& ip : chooseTargets(self, isLearning, random)) {
        auto message = makeHeartbeat(self, now, random);
        message.replyRequested = isLearning;
        effects.emplace_back(send_peer_message { ip, std::move(message) });
    }
}

/// Notifies every peer once that this host is shutting down.
void announceLeave(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    if (self.phase < node_phase::leaving || std::exchange(self.membership.leaveAnnounced, true))
        return;
    for (const auto& [ip, peer] : self.peers)
        effects.emplace_back(send_peer_message { ip, makeHeartbeat(self, now, random) });
}

/// Keeps the peers heard of most recently. Recent news is worth more, and is passed on before it is old.
std::vector<state::gateway::known_peer> pickRecent(
    std::vector<state::gateway::known_peer> candidates, std::size_t maxCount)
{
    if (candidates.size() <= maxCount)
        return candidates;
    const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(maxCount);
    std::nth_element(candidates.begin(), last, candidates.end(),
        [](const auto& left, const auto& right) { return left.age < right.age; });
    candidates.erase(last, candidates.end());
    return candidates;
}

} // namespace

peer_heartbeat makeShortHeartbeat(const gateway_node& self, state::time_point now)
{
    peer_heartbeat made;
    made.sender = self.settings.ip;
    made.dataCentre = self.settings.dataCentre;
    made.incarnation = self.settings.incarnation;
    made.leaving = self.phase >= node_phase::leaving;
    made.store = findStoreAccess(self);
    made.storeUnsettled = self.storeLostAt || now < self.storeRecoveringUntil;
    made.asOf = self.published.asOf;
    made.fleetTime = fleetTime(self, now);
    made.storeNewsAt = storeNewsForPeers(self);
    return made;
}

peer_heartbeat makeHeartbeat(const gateway_node& self, state::time_point now, random_generator& random)
{
    auto made = makeShortHeartbeat(self, now);
    std::vector<state::gateway::known_peer> known;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.leaving)
            known.push_back({ ip, peer.dataCentre, std::max(now - peer.lastSeenAt, state::duration {}) });
    }
    made.limits = sampleLimits(self, now, random);
    made.crashes = sampleSuspects(self, random);
    made.classDemand = collectClassDemand(self, now);
    const auto demandBytes = made.classDemand ? countBytes(*made.classDemand) : 0;
    made.peers = pickRecent(pickRandom(std::move(known), candidatesPerHeartbeat, random),
        peersPerHeartbeat - std::min(peersPerHeartbeat, demandBytes / bytesPerPeer));
    return made;
}

void handleHeartbeat(gateway_node& self, const heartbeat_received& received, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto& message = received.message;
    if (message.sender != received.senderIp || message.sender == self.settings.ip)
        return; // a host may send heartbeats only for itself
    recordPeer(self, message.sender, message.dataCentre, now);
    auto& peer = self.peers[message.sender];
    handlePeerStoreAccess(self, peer, message, now);
    peer.incarnation = message.incarnation;
    peer.leaving = message.leaving;
    peer.receivedAt = now;
    peer.store = message.store;
    peer.asOf = message.asOf;
    adoptClassDemand(peer, message, now);
    const auto timeout = findPeerTimeout(self);
    for (const auto& known : message.peers) {
        if (known.age < timeout)
            recordPeer(self, known.ip, known.dataCentre, now - known.age);
    }
    if (message.storeUnsettled)
        extendStoreRecovery(self, now);
    adoptFleetTime(self, message.fleetTime, now);
    adoptLimits(self, message.limits, now, effects);
    countHosts(self, now);
    adoptReports(self, message.crashes, now, effects);
    self.allowances.heardAt = now;
    self.allowances.hostsHeard = self.share.hosts;
    handleAllowanceMessages(self, message, now);
    applyRelayedChanges(self, message, now, random, effects);
    if (adoptStoreNews(self, message, now))
        notifyDataCentre(self, std::nullopt, now, random, effects);
    if (message.replyRequested)
        effects.emplace_back(send_peer_message { message.sender, makeHeartbeat(self, now, random) });
}

void processMembership(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    announceLeave(self, now, random, effects);
    startFleetClock(self, now);
    if (now < self.membership.nextGossipAt || self.settings.ip.empty())
        return;
    removeTimedOutPeers(self, now, effects);
    expireSuspects(self, now);
    countHosts(self, now);
    gossip(self, now, random, effects);
    if (self.published.asOf == 0 || hasNoPeers(self)) {
        contactSeeds(self, now, random, effects);
        const bool young = now - self.membership.startedAt < seedInterval;
        self.membership.nextGossipAt = now + (young ? initialSeedInterval : seedInterval);
        return;
    }
    logPeerCounts(self, effects);
    const auto jitter = gossipInterval / 4 * random(1024) / 1024; // NOLINT: jitter of up to a quarter of the interval
    self.membership.nextGossipAt = now + gossipInterval - jitter;
}

state::time_point nextMembershipStep(const gateway_node& self) noexcept
{
    return self.settings.ip.empty() ? state::time_point::max() : self.membership.nextGossipAt;
}

} // namespace acaciaslip::coordination::gateway
