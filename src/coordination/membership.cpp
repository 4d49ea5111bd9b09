#include "coordination/membership.hpp"

#include "coordination/conditions.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/message_size.hpp"
#include "coordination/node.hpp"
#include "coordination/permits.hpp"
#include "coordination/server_tracking.hpp"
#include "coordination/settings_distribution.hpp"
#include "coordination/state_refresh.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

/// Time without a message after which a peer's incarnation is discarded. Incarnations are derived from the peer's
/// clock, so a clock that was set back would otherwise cause all further messages to be dropped as replays.
constexpr state::duration incarnationTimeout = std::chrono::seconds { 30 };
constexpr state::duration expiryCheckInterval = std::chrono::milliseconds { 100 };

bool isReplay(const state::peer_record& peer, const state::peer_message& message) noexcept
{
    if (message.incarnation != peer.incarnation)
        return message.incarnation < peer.incarnation;
    return message.sequence <= peer.sequence;
}

void discardLoads(node& self, state::peer_record& peer)
{
    if (!peer.loadsIncluded)
        return;
    for (auto& server : self.fleet.servers)
        removePeerLoad(server.load, peer.id);
    peer.loadsIncluded = false;
}

/// Resets the state of a peer that has restarted: what it reported before is obsolete, and it has lost everything that
/// was sent to it.
void resetRestartedPeer(node& self, state::peer_record& peer)
{
    discardLoads(self, peer);
    peer.revisions.clear();
    peer.outbox = {};
}

bool isSelf(const node& self, const state::host_id& id, const std::string& address) noexcept
{
    return id == self.settings.id || address == self.settings.peerAddress;
}

std::size_t countIntroduced(const node& self) noexcept
{
    return static_cast<std::size_t>(
        std::count_if(self.peers.begin(), self.peers.end(), [](const auto& entry) { return !entry.second.listed; }));
}

void applyIntroductions(node& self, const state::peer_message& message, state::time_point now)
{
    for (const auto& host : message.introduced) {
        const auto found = self.peers.find(host.id);
        if (isSelf(self, host.id, host.address) || (found != self.peers.end() && found->second.listed))
            continue;
        if (found == self.peers.end() && countIntroduced(self) >= maxIntroducedPeers)
            continue;
        auto& peer = self.peers[host.id];
        if (peer.address != host.address)
            peer = {};
        peer.id = host.id;
        peer.address = host.address;
        peer.dataCentre = host.dataCentre;
        peer.sameDataCentre = host.dataCentre == self.settings.dataCentre;
        peer.introducedUntil = now + introductionExpiry;
    }
}

void updateSender(node& self, state::peer_record& peer, const state::peer_message& message, state::time_point now)
{
    if (peer.incarnation != message.incarnation)
        resetRestartedPeer(self, peer);
    peer.incarnation = message.incarnation;
    peer.sequence = message.sequence;
    peer.leaving = message.leaving || peer.listedLeaving;
    peer.receivedAt = now;
    peer.loadsIncluded |= !message.loads.empty();
}

/// Finds the sender of a message by id and address.
/// \return null if no peer matches both
state::peer_record* findSender(node& self, const peer_message_received& received)
{
    const auto found = self.peers.find(received.message.sender);
    return found == self.peers.end() || found->second.address != received.fromAddress ? nullptr : &found->second;
}

void applyListedHost(node& self, const state::host_record& host, state::time_point now)
{
    auto& peer = self.peers[host.id];
    if (peer.address != host.peerAddress) {
        discardLoads(self, peer);
        peer = {};
    }
    if (!peer.listed)
        peer.listedSince = now;
    peer.id = host.id;
    peer.address = host.peerAddress;
    peer.dataCentre = host.dataCentre;
    peer.sameDataCentre = host.dataCentre == self.settings.dataCentre;
    peer.listed = true;
    peer.listedLeaving = host.listing == state::host_listing::leaving;
    peer.leaving |= peer.listedLeaving;
}

} // namespace

void handlePeerMessage(node& self, const peer_message_received& received, state::time_point now, effect_list& effects)
{
    const auto& message = received.message;
    self.counters.controlBytesReceived += boundMessageSize(message) + datagramHeaderBytes;
    auto* const peer = findSender(self, received);
    if (peer == nullptr || isReplay(*peer, message)) {
        ++self.counters.peerMessagesDropped;
        ++(peer == nullptr ? self.counters.peerMessagesFromUnknown : self.counters.peerMessagesReplayed);
        return;
    }
    ++self.counters.peerMessagesAccepted;
    updateSender(self, *peer, message, now);
    applyPeerLoads(self, message, now);
    applyEcho(self, message, now);
    applyPeerConditions(self, message, now, effects);
    applyPeerRevisions(self, *peer, message, now);
    if (message.queryId != 0 && !isStateStale(self, now))
        replyToPeer(self, *peer, message.queryId, now, effects);
    if (message.queryReplyTo != 0)
        handleRefreshReply(self, message, now);
    if (peer->listed)
        applyIntroductions(self, message, now);
}

void handleDatagramRejected(node& self, const datagram_rejected& rejected)
{
    ++self.counters.peerMessagesDropped;
    ++self.counters.datagramsRejected;
    self.counters.controlBytesReceived += rejected.bytes + datagramHeaderBytes;
}

void expirePeers(node& self, state::time_point now)
{
    if (now < self.peerMessaging.nextExpiryCheckAt)
        return;
    self.peerMessaging.nextExpiryCheckAt = now + expiryCheckInterval;
    for (auto& [id, peer] : self.peers) {
        if (!peer.receivedAt)
            continue;
        const auto silence = now - *peer.receivedAt;
        if (silence > (peer.sameDataCentre ? localLoadExpiry : remoteLoadExpiry))
            discardLoads(self, peer);
        if (silence > incarnationTimeout)
            peer.incarnation = 0;
    }
    for (auto& [id, peer] : self.peers) {
        if (!peer.listed && now > peer.introducedUntil)
            discardLoads(self, peer);
    }
    std::erase_if(
        self.peers, [now](const auto& entry) { return !entry.second.listed && now > entry.second.introducedUntil; });
}

void applyEntryHosts(node& self, const state::fleet_settings& settings, state::time_point now)
{
    std::map<state::host_id, const state::host_record*> listed;
    for (const auto& host : settings.hosts) {
        if (host.kind == state::host_kind::entry && !host.peerAddress.empty()
            && !isSelf(self, host.id, host.peerAddress))
            listed[host.id] = &host;
    }
    for (const auto& [id, host] : listed)
        applyListedHost(self, *host, now);
    for (auto& [id, peer] : self.peers) {
        if (peer.listed && !listed.contains(id)) {
            discardLoads(self, peer);
            peer.listed = false;
            peer.introducedUntil = {};
        }
    }
    std::erase_if(
        self.peers, [now](const auto& entry) { return !entry.second.listed && now > entry.second.introducedUntil; });
}

bool isAlive(const state::peer_record& peer, state::time_point now) noexcept
{
    return peer.receivedAt && now - *peer.receivedAt <= livenessTimeout;
}

} // namespace acaciaslip::coordination
