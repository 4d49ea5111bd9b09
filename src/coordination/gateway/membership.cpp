#include "coordination/gateway/membership.hpp"

#include "coordination/gateway/fleet_relay.hpp"
#include "coordination/gateway/fleet_view.hpp"
#include "coordination/gateway/store_duty.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::peer_heartbeat;
using state::gateway::peer_ip;
using state::gateway::peer_state;

constexpr state::duration gossipInterval = std::chrono::seconds { 1 };
constexpr std::size_t learningTargets = 2; ///< hosts contacted per gossip round during the learning period
/// In one of this many rounds the target may be in any data centre, otherwise it is in the own one, because traffic
/// between data centres is expensive.
constexpr std::uint64_t anywhereOneIn = 3;
constexpr std::size_t peersTold = 24; ///< per heartbeat; keeps it within one datagram
constexpr state::duration silentAfter = std::chrono::seconds {
    15
}; ///< in a fleet of a few hundred hosts, gossip about each host arrives within this time
constexpr state::duration firstSeedInterval = std::chrono::milliseconds { 40 }; ///< while no host has answered
constexpr state::duration seedInterval = std::chrono::milliseconds { 500 }; ///< likewise, once the start is longer ago
constexpr state::duration learning = std::chrono::seconds { 10 }; ///< after the start, heartbeats request a reply
/// A host that disappears stays in the count for this time, so that a host that is only cut off does not raise the
/// budget shares of the others at once.
constexpr state::duration countMemory = std::chrono::seconds { 20 };

/// Returns a random sample of distinct entries.
template <typename Item> std::vector<Item> pickSome(std::vector<Item> from, std::size_t most, random_generator& random)
{
    for (std::size_t index = 0; index < std::min(most, from.size()); ++index) {
        const auto other = index + random(static_cast<std::uint32_t>(from.size() - index));
        std::swap(from[index], from[other]);
    }
    from.resize(std::min(most, from.size()));
    return from;
}

void notePeer(gateway_node& self, const peer_ip& ip, const state::data_centre_id& dataCentre, state::time_point aliveAt)
{
    if (ip == self.settings.ip || ip.empty())
        return;
    auto& peer = self.peers[ip];
    peer.dataCentre = dataCentre;
    peer.aliveAt = std::max(peer.aliveAt, aliveAt);
}

void forgetSilent(gateway_node& self, state::time_point now, effect_list& effects)
{
    std::erase_if(self.peers, [&](const auto& entry) {
        const bool silent = now - entry.second.aliveAt >= silentAfter;
        if (silent)
            effects.emplace_back(log_event { log_level::info, "peer",
                { { "ip", entry.first }, { "what", "silent" }, { "data_centre", entry.second.dataCentre } } });
        return silent;
    });
}

void countHosts(gateway_node& self, state::time_point now)
{
    const auto staying = [](const auto& entry) { return !entry.second.leaving; };
    const auto hosts = static_cast<std::uint32_t>(std::count_if(self.peers.begin(), self.peers.end(), staying)) + 1;
    if (hosts >= self.share.hosts || !self.membership.counted || now - self.membership.mostHostsAt >= countMemory) {
        // Until a host has answered, the fleet may be large.
        const bool known = !self.peers.empty() || self.settings.seeds.empty() || self.membership.counted;
        if (!known)
            return;
        self.share.hosts = hosts;
        self.membership.counted = true;
        self.membership.mostHostsAt = now;
    }
    const auto before = std::count_if(
        self.peers.begin(), self.peers.end(), [&](const auto& entry) { return entry.first < self.settings.ip; });
    self.share.rank = static_cast<std::uint32_t>(before);
}

void askSeeds(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    for (const auto& seed : self.settings.seeds) {
        if (seed == self.settings.ip)
            continue;
        auto question = makeHeartbeat(self, now, random);
        question.answerWanted = true;
        effects.emplace_back(tell_peer { seed, std::move(question) });
    }
}

/// Hosts that are shutting down do not count, since they will be gone soon.
bool isAlone(const gateway_node& self)
{
    return std::none_of(self.peers.begin(), self.peers.end(), [](const auto& entry) { return !entry.second.leaving; });
}

/// During the learning period, several hosts of any data centre are contacted per round; later, one per round.
std::vector<peer_ip> chooseTargets(gateway_node& self, bool isLearning, random_generator& random)
{
    const bool anywhere = isLearning || self.membership.intervals++ % anywhereOneIn == 0;
    std::vector<peer_ip> candidates;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.leaving && (anywhere || peer.dataCentre == self.settings.dataCentre))
            candidates.push_back(ip);
    }
    return pickSome(std::move(candidates), isLearning ? learningTargets : 1, random);
}

void gossip(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    const bool isLearning = now - self.membership.startedAt < learning;
    for (const auto& ip : chooseTargets(self, isLearning, random)) {
        auto message = makeHeartbeat(self, now, random);
        message.answerWanted = isLearning;
        effects.emplace_back(tell_peer { ip, std::move(message) });
    }
}

/// Tells every peer once that this host is shutting down.
void sayFarewell(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    if (self.phase < node_phase::leaving || std::exchange(self.membership.saidFarewell, true))
        return;
    for (const auto& [ip, peer] : self.peers)
        effects.emplace_back(tell_peer { ip, makeHeartbeat(self, now, random) });
}

} // namespace

peer_heartbeat makeHeartbeat(const gateway_node& self, state::time_point now, random_generator& random)
{
    peer_heartbeat made;
    made.from = self.settings.ip;
    made.dataCentre = self.settings.dataCentre;
    made.incarnation = self.settings.incarnation;
    made.leaving = self.phase >= node_phase::leaving;
    made.store = findStoreAccess(self);
    made.storeUnsettled = self.storeLostAt || now < self.storeUnsettledUntil;
    made.asOf = self.published.asOf;
    std::vector<state::gateway::known_peer> known;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.leaving)
            known.push_back({ ip, peer.dataCentre, std::max(now - peer.aliveAt, state::duration {}) });
    }
    made.peers = pickSome(std::move(known), peersTold, random);
    return made;
}

void noteHeartbeat(
    gateway_node& self, const peer_heard& heard, state::time_point now, random_generator& random, effect_list& effects)
{
    const auto& message = heard.message;
    if (message.from != heard.fromIp || message.from == self.settings.ip)
        return; // a host may send heartbeats only for itself
    notePeer(self, message.from, message.dataCentre, now);
    auto& peer = self.peers[message.from];
    if (!peer.heardAt)
        effects.emplace_back(log_event { log_level::info, "peer",
            { { "ip", message.from }, { "what", "heard" }, { "data_centre", message.dataCentre },
                { "revision", std::to_string(message.asOf) } } });
    peer.incarnation = message.incarnation;
    peer.leaving = message.leaving;
    peer.heardAt = now;
    peer.store = message.store;
    peer.asOf = message.asOf;
    for (const auto& known : message.peers) {
        if (known.age < silentAfter)
            notePeer(self, known.ip, known.dataCentre, now - known.age);
    }
    if (message.storeUnsettled)
        noteStoreUnsettled(self, now);
    countHosts(self, now);
    noteRelay(self, message, now, random, effects);
    if (message.answerWanted)
        effects.emplace_back(tell_peer { message.from, makeHeartbeat(self, now, random) });
}

void advanceMembership(gateway_node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    sayFarewell(self, now, random, effects);
    if (now < self.membership.nextGossipAt || self.settings.ip.empty())
        return;
    forgetSilent(self, now, effects);
    countHosts(self, now);
    gossip(self, now, random, effects);
    if (self.published.asOf == 0 || isAlone(self)) {
        askSeeds(self, now, random, effects);
        const bool young = now - self.membership.startedAt < seedInterval;
        self.membership.nextGossipAt = now + (young ? firstSeedInterval : seedInterval);
        return;
    }
    const auto jitter = gossipInterval / 4 * random(1024) / 1024; // NOLINT: jitter of up to a quarter of the interval
    self.membership.nextGossipAt = now + gossipInterval - jitter;
}

state::time_point nextMembershipStep(const gateway_node& self) noexcept
{
    return self.settings.ip.empty() ? state::time_point::max() : self.membership.nextGossipAt;
}

} // namespace acaciaslip::coordination::gateway
