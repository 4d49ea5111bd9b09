#include "coordination/membership.hpp"

#include "coordination/conditions.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"
#include "coordination/permits.hpp"
#include "coordination/server_tracking.hpp"

namespace acaciaslip::coordination {

namespace {

constexpr state::duration heartbeatInterval = std::chrono::milliseconds { 100 };
constexpr std::size_t repeatedConditions = 8; ///< in one heartbeat

state::peer_message makeMessage(node& self)
{
    state::peer_message message;
    message.from = self.settings.id;
    message.incarnation = self.incarnation;
    message.sequence = self.nextSequence++;
    message.leaving = self.phase >= node_phase::lame_duck;
    return message;
}

void addLoads(const node& self, state::peer_message& message)
{
    for (const auto& server : self.fleet.servers) {
        if (server.listing != state::host_listing::absent)
            message.loads.push_back({ tagOf(server.id), server.ownInFlight });
    }
}

bool isReplay(const state::peer_record& peer, const state::peer_message& message)
{
    if (message.incarnation != peer.incarnation)
        return message.incarnation < peer.incarnation;
    return message.sequence <= peer.sequence;
}

} // namespace

void notePeerMessage(node& self, const peer_message_received& received, state::time_point now, effect_list& effects)
{
    const auto& message = received.message;
    const auto found = self.peers.find(message.from);
    if (found == self.peers.end() || found->second.address != received.fromAddress
        || isReplay(found->second, message)) {
        ++self.counters.peerMessagesDropped;
        return;
    }
    ++self.counters.peerMessagesTaken;
    auto& peer = found->second;
    peer.incarnation = message.incarnation;
    peer.sequence = message.sequence;
    peer.leaving = message.leaving;
    peer.heardAt = now;
    notePeerLoads(self, message, now);
    noteEcho(self, message, now);
    notePeerConditions(self, message, now, effects);
}

void noteDatagramRefused(node& self, const datagram_refused& /*refused*/)
{
    ++self.counters.peerMessagesDropped;
}

void tellPeers(node& self, state::time_point now, random_generator& /*random*/, effect_list& effects)
{
    for (auto& [id, peer] : self.peers) {
        if (now < peer.nextTellAt)
            continue;
        peer.nextTellAt = now + heartbeatInterval;
        auto message = makeMessage(self);
        message.echoIncarnation = peer.incarnation;
        message.echoSequence = peer.sequence;
        addLoads(self, message);
        message.conditions = conditionsToRepeat(self, repeatedConditions, now);
        ++self.counters.peerMessagesSent;
        effects.emplace_back(tell_peer { peer.address, std::move(message) });
    }
}

void tellConditionChange(
    node& self, const state::condition_change& change, state::time_point /*now*/, effect_list& effects)
{
    for (const auto& [id, peer] : self.peers) {
        auto message = makeMessage(self);
        message.conditions.push_back(change);
        ++self.counters.peerMessagesSent;
        effects.emplace_back(tell_peer { peer.address, std::move(message) });
    }
}

void applyEntryHosts(node& self, const state::fleet_settings& settings, state::time_point /*now*/)
{
    for (auto& [id, peer] : self.peers)
        peer.listed = false;
    for (const auto& host : settings.hosts) {
        if (host.kind != state::host_kind::entry || host.id == self.settings.id || host.peerAddress.empty())
            continue;
        auto& peer = self.peers[host.id];
        peer.id = host.id;
        peer.address = host.peerAddress;
        peer.dataCentre = host.dataCentre;
        peer.listed = true;
        peer.leaving = host.listing == state::host_listing::leaving;
    }
    std::erase_if(self.peers, [](const auto& entry) { return !entry.second.listed; });
}

} // namespace acaciaslip::coordination
