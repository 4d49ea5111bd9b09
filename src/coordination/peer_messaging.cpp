#include "coordination/peer_messaging.hpp"

#include "coordination/conditions.hpp"
#include "coordination/membership.hpp"
#include "coordination/message_size.hpp"
#include "coordination/node.hpp"
#include "coordination/settings_distribution.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr std::uint32_t conditionSends = 2;
constexpr std::uint32_t revisionSends = 3;
constexpr std::uint32_t zeroLoadRepeats = 3;
constexpr state::duration loadRepeatInterval = std::chrono::seconds { 1 };
constexpr state::duration localFullInterval = std::chrono::seconds { 2 };
constexpr state::duration remoteFullInterval = std::chrono::seconds { 10 };
constexpr state::duration remoteFullIntervalPerPeer = std::chrono::milliseconds { 250 };
constexpr std::size_t conditionsRepeated = 1; ///< per heartbeat
constexpr std::size_t conditionsRepeatedFull = 6; ///< per full heartbeat
/// How long a newly listed host is introduced to peers whose list may not contain it yet.
constexpr state::duration introductionPeriod = std::chrono::seconds { 60 };
constexpr std::size_t introductionsPerMessage = 4;
constexpr std::size_t peersPerQuery = 3; ///< per request for revisions
constexpr std::size_t minPayloadBytes = 48; ///< bytes of an empty heartbeat
/// Maximum heartbeat payload in bytes; a full token bucket must always have room for it.
constexpr auto maxHeartbeatBytes
    = static_cast<std::size_t>(sentBurstBytes - urgentReserveBytes) - datagramHeaderBytes - 16;

/// A message under construction, and what the outbox has to record once it is sent.
struct message_draft {
    state::peer_message message;
    std::vector<state::server_index> loadServers; ///< server of each entry in message.loads
    std::size_t pendingConditions = 0; ///< leading entries of message.conditions that are not repetitions
    std::size_t nextCondition = 0;
    std::size_t nextLoad = 0;
    std::size_t nextIntroduction = 0;
    bool full = false;
};

message_draft makeMessage(const node& self, const state::peer_record& peer)
{
    message_draft draft;
    draft.message.sender = self.settings.id;
    draft.message.incarnation = self.incarnation;
    draft.message.sequence = self.nextSequence;
    draft.message.leaving = self.phase >= node_phase::lame_duck;
    draft.message.echoIncarnation = peer.incarnation;
    draft.message.echoSequence = peer.sequence;
    return draft;
}

/// Adds a condition if the message stays within the limit.
/// \return false if it does not fit
bool addCondition(const state::condition_change& change, std::size_t payloadLimit, message_draft& draft)
{
    draft.message.conditions.push_back(change);
    if (boundMessageSize(draft.message) <= payloadLimit)
        return true;
    draft.message.conditions.pop_back();
    return false;
}

void addConditions(const state::peer_outbox& outbox, message_draft& draft)
{
    for (const auto& pending : outbox.pendingConditions) {
        if (!addCondition(pending.change, maxHeartbeatBytes, draft))
            return;
        ++draft.pendingConditions;
    }
}

/// Repeats some conditions, because messages may have been lost or the peer may have restarted.
void repeatConditions(const node& self, const state::peer_outbox& outbox, std::size_t payloadLimit,
    state::time_point now, message_draft& draft)
{
    draft.nextCondition = outbox.nextCondition;
    const auto maxConditions = draft.full ? conditionsRepeatedFull : conditionsRepeated;
    for (const auto& change : conditionsToResend(self, draft.nextCondition, maxConditions, now)) {
        if (!addCondition(change, payloadLimit, draft))
            return;
    }
}

bool isLoadDue(const state::server_record& server, const state::sent_load& lastSent, state::time_point now) noexcept
{
    if (server.listing == state::host_listing::absent)
        return false;
    if (server.ownInFlight != lastSent.inFlight)
        return true;
    return (lastSent.inFlight > 0 || lastSent.resendsLeft > 0) && now - lastSent.sentAt >= loadRepeatInterval;
}

void addLoads(const node& self, const state::peer_outbox& outbox, std::size_t payloadLimit, state::time_point now,
    message_draft& draft)
{
    const auto& tags = self.serverTags.byServer;
    const auto count = std::min(tags.size(), self.fleet.servers.size());
    auto bytes = boundMessageSize(draft.message);
    constexpr state::sent_load neverSent {};
    for (std::size_t step = 0; step < count; ++step) {
        const auto index = static_cast<state::server_index>((outbox.nextLoad + step) % count);
        const auto& server = self.fleet.servers[index];
        const auto& lastSent = index < outbox.loads.size() ? outbox.loads[index] : neverSent;
        if (!isLoadDue(server, lastSent, now) || findServer(self.serverTags, tags[index]) != index)
            continue;
        const state::load_delta load { tags[index], server.ownInFlight };
        bytes += boundLoadSize(load);
        if (bytes > payloadLimit || draft.message.loads.size() == maxListEntries)
            return;
        draft.message.loads.push_back(load);
        draft.loadServers.push_back(index);
        draft.nextLoad = index + 1;
    }
}

void addIntroductions(const node& self, const state::peer_record& peer, state::time_point now, message_draft& draft)
{
    std::vector<const state::peer_record*> recent;
    for (const auto& [id, other] : self.peers) {
        if (id != peer.id && other.listed && now - other.listedSince < introductionPeriod)
            recent.push_back(&other);
    }
    draft.nextIntroduction = peer.outbox.nextIntroduction + introductionsPerMessage;
    for (std::size_t step = 0; step < std::min(introductionsPerMessage, recent.size()); ++step) {
        const auto& other = *recent[(peer.outbox.nextIntroduction + step) % recent.size()];
        draft.message.introduced.push_back({ other.id, other.address, other.dataCentre });
    }
}

message_draft makeHeartbeat(
    const node& self, const state::peer_record& peer, const peer_counts& counts, state::time_point now)
{
    auto draft = makeMessage(self, peer);
    draft.full = now >= peer.outbox.nextFullHeartbeatAt;
    addConditions(peer.outbox, draft);
    if (draft.full || peer.outbox.revisionSendsLeft > 0)
        draft.message.revisions = listRevisions(self);
    if (draft.full)
        addIntroductions(self, peer, now, draft);
    const auto limit = peer.sameDataCentre || draft.full ? maxHeartbeatBytes : remotePayloadLimit(counts);
    repeatConditions(self, peer.outbox, limit, now, draft);
    addLoads(self, peer.outbox, limit, now, draft);
    return draft;
}

/// Makes a message of urgent updates only, to keep it small.
message_draft makeUrgent(const node& self, const state::peer_record& peer)
{
    auto draft = makeMessage(self, peer);
    if (peer.outbox.hasUnsentRevisions)
        draft.message.revisions = listRevisions(self);
    addConditions(peer.outbox, draft);
    draft.nextCondition = peer.outbox.nextCondition;
    return draft;
}

void recordSentLoads(const message_draft& sent, state::time_point now, state::peer_outbox& outbox)
{
    for (std::size_t entry = 0; entry < sent.loadServers.size(); ++entry) {
        const auto index = sent.loadServers[entry];
        if (outbox.loads.size() <= index)
            outbox.loads.resize(index + 1);
        auto& lastSent = outbox.loads[index];
        const auto inFlight = sent.message.loads[entry].inFlight;
        if (lastSent.inFlight != inFlight)
            lastSent.resendsLeft = zeroLoadRepeats;
        else if (inFlight == 0)
            --lastSent.resendsLeft;
        lastSent.inFlight = inFlight;
        lastSent.sentAt = now;
    }
    if (!sent.loadServers.empty())
        outbox.nextLoad = sent.nextLoad;
}

void recordSentConditions(const message_draft& sent, state::peer_outbox& outbox)
{
    const auto count = sent.pendingConditions;
    for (std::size_t index = 0; index < count; ++index)
        --outbox.pendingConditions[index].sendsLeft;
    // Conditions that did not fit go first in the next message.
    std::rotate(outbox.pendingConditions.begin(), outbox.pendingConditions.begin() + static_cast<std::ptrdiff_t>(count),
        outbox.pendingConditions.end());
    std::erase_if(outbox.pendingConditions, [](const auto& pending) { return pending.sendsLeft == 0; });
    outbox.hasUnsentConditions = std::any_of(outbox.pendingConditions.begin(), outbox.pendingConditions.end(),
        [](const auto& pending) { return pending.sendsLeft == conditionSends; });
    outbox.nextCondition = sent.nextCondition;
}

/// Records in the peer's outbox what was sent to it.
void recordSent(const message_draft& sent, std::size_t peers, state::time_point now, state::peer_record& peer)
{
    auto& outbox = peer.outbox;
    recordSentLoads(sent, now, outbox);
    recordSentConditions(sent, outbox);
    if (!sent.message.revisions.empty()) {
        outbox.revisionSendsLeft -= outbox.revisionSendsLeft > 0 ? 1 : 0;
        outbox.hasUnsentRevisions = false;
    }
    if (sent.full) {
        outbox.nextFullHeartbeatAt = now
            + (peer.sameDataCentre
                    ? localFullInterval
                    : std::max(remoteFullInterval, remoteFullIntervalPerPeer * static_cast<std::int64_t>(peers)));
        outbox.nextIntroduction = sent.nextIntroduction;
    }
}

bool send(node& self, const std::string& address, state::peer_message message, send_class sendClass,
    state::time_point now, effect_list& effects)
{
    const auto bytes = boundMessageSize(message);
    if (!takeBytes(self.peerMessaging.bytes, bytes, sendClass, now))
        return false;
    ++self.nextSequence;
    ++self.counters.peerMessagesSent;
    self.counters.controlBytesSent += bytes + datagramHeaderBytes;
    effects.emplace_back(send_peer_message { address, std::move(message) });
    return true;
}

/// Visits every peer in order of id, starting after this node's own id, so that different nodes start with different
/// peers.
/// \param visit returns false to stop
/// \return false if it was stopped
template <typename Visit> bool visitPeers(node& self, Visit visit)
{
    const auto middle = self.peers.upper_bound(self.settings.id);
    const auto visitRange = [&](auto first, auto last) {
        return std::all_of(first, last, [&](auto& entry) { return visit(entry.second); });
    };
    return visitRange(middle, self.peers.end()) && visitRange(self.peers.begin(), middle);
}

/// Sends pending urgent updates either to the peers in this node's data centre or to all others.
/// \return false if the byte budget was exhausted
bool sendUrgent(node& self, bool local, state::time_point now, effect_list& effects)
{
    return visitPeers(self, [&](state::peer_record& peer) {
        if (peer.sameDataCentre != local || (!peer.outbox.hasUnsentConditions && !peer.outbox.hasUnsentRevisions))
            return true;
        const auto draft = makeUrgent(self, peer);
        if (!send(self, peer.address, draft.message, send_class::urgent, now, effects))
            return false;
        recordSent(draft, self.peers.size(), now, peer);
        return true;
    });
}

void sendUrgent(node& self, state::time_point now, effect_list& effects)
{
    if (self.peerMessaging.hasUrgentUpdates && sendUrgent(self, true, now, effects)
        && sendUrgent(self, false, now, effects))
        self.peerMessaging.hasUrgentUpdates = false;
}

/// Sends a heartbeat.
/// \return payload size in bytes; nothing if the byte budget was exhausted
std::optional<std::size_t> sendHeartbeat(
    node& self, state::peer_record& peer, const peer_counts& counts, state::time_point now, effect_list& effects)
{
    const auto draft = makeHeartbeat(self, peer, counts, now);
    if (!send(self, peer.address, draft.message, send_class::heartbeat, now, effects))
        return std::nullopt;
    recordSent(draft, self.peers.size(), now, peer);
    return boundMessageSize(draft.message);
}

void sendLocalHeartbeats(node& self, const peer_counts& counts, state::time_point now, effect_list& effects)
{
    (void)visitPeers(self, [&](state::peer_record& peer) {
        if (!peer.sameDataCentre || now < peer.outbox.nextHeartbeatAt)
            return true;
        const auto bytes = sendHeartbeat(self, peer, counts, now, effects);
        if (bytes)
            peer.outbox.nextHeartbeatAt = now + localHeartbeatInterval(*bytes, counts);
        return bytes.has_value();
    });
}

/// Chooses the next peer in another data centre, round robin.
/// \return null if there is none
state::peer_record* findNextRemote(node& self)
{
    const auto& last = self.peerMessaging.lastRemote;
    const auto start = self.peers.upper_bound(last.empty() ? self.settings.id : last);
    const auto isRemote = [](const auto& entry) { return !entry.second.sameDataCentre; };
    auto found = std::find_if(start, self.peers.end(), isRemote);
    if (found == self.peers.end())
        found = std::find_if(self.peers.begin(), start, isRemote);
    return found == self.peers.end() || found->second.sameDataCentre ? nullptr : &found->second;
}

void sendRemoteHeartbeat(node& self, const peer_counts& counts, state::time_point now, effect_list& effects)
{
    if (now < self.peerMessaging.nextRemoteAt)
        return;
    auto* const peer = findNextRemote(self);
    if (peer == nullptr)
        return;
    const auto bytes = sendHeartbeat(self, *peer, counts, now, effects);
    if (!bytes)
        return;
    self.peerMessaging.lastRemote = peer->id;
    // The size used here is capped: an occasional full message uses bytes that short heartbeats leave unused, so that
    // it does not delay the heartbeats to other peers.
    self.peerMessaging.nextRemoteAt = now
        + remoteHeartbeatInterval(std::min(*bytes, std::max(remotePayloadLimit(counts), minPayloadBytes)), counts);
}

/// Orders the peers for a request: live peers first, then the same data centre before others, then at random.
std::vector<const state::peer_record*> orderForQuery(const node& self, state::time_point now, random_generator& random)
{
    struct ranked {
        int rank;
        std::uint32_t tieBreak;
        const state::peer_record* peer;
    };
    std::vector<ranked> order;
    for (const auto& [id, peer] : self.peers)
        order.push_back({ (isAlive(peer, now) ? 0 : 2) + (peer.sameDataCentre ? 0 : 1), random(), &peer });
    std::sort(order.begin(), order.end(), [](const ranked& left, const ranked& right) {
        return std::tie(left.rank, left.tieBreak) < std::tie(right.rank, right.tieBreak);
    });
    std::vector<const state::peer_record*> peers;
    peers.reserve(order.size());
    for (const auto& entry : order)
        peers.push_back(entry.peer);
    return peers;
}

} // namespace

void sendDueMessages(node& self, state::time_point now, effect_list& effects)
{
    sendUrgent(self, now, effects);
    const auto counts = countPeers(self);
    sendRemoteHeartbeat(self, counts, now, effects);
    sendLocalHeartbeats(self, counts, now, effects);
}

void broadcastConditionChange(
    node& self, const state::condition_change& change, state::time_point now, effect_list& effects)
{
    for (auto& [id, peer] : self.peers) {
        std::erase_if(
            peer.outbox.pendingConditions, [&](const auto& pending) { return pending.change.server == change.server; });
        peer.outbox.pendingConditions.insert(peer.outbox.pendingConditions.begin(), { change, conditionSends });
        peer.outbox.hasUnsentConditions = true;
    }
    self.peerMessaging.hasUrgentUpdates = true;
    sendUrgent(self, now, effects);
}

void broadcastRevisionChange(node& self, state::time_point now, effect_list& effects)
{
    for (auto& [id, peer] : self.peers) {
        peer.outbox.revisionSendsLeft = revisionSends;
        peer.outbox.hasUnsentRevisions = peer.sameDataCentre;
    }
    self.peerMessaging.hasUrgentUpdates = true;
    sendUrgent(self, now, effects);
}

std::size_t queryPeers(
    node& self, std::uint64_t queryId, state::time_point now, random_generator& random, effect_list& effects)
{
    std::size_t queried = 0;
    for (const auto* peer : orderForQuery(self, now, random)) {
        auto draft = makeMessage(self, *peer);
        draft.message.queryId = queryId;
        if (queried == peersPerQuery || !send(self, peer->address, draft.message, send_class::urgent, now, effects))
            break;
        ++queried;
    }
    return queried;
}

void replyToPeer(
    node& self, const state::peer_record& peer, std::uint64_t queryId, state::time_point now, effect_list& effects)
{
    auto draft = makeMessage(self, peer);
    draft.message.queryReplyTo = queryId;
    draft.message.revisions = listRevisions(self);
    (void)send(self, peer.address, std::move(draft.message), send_class::urgent, now, effects);
}

} // namespace acaciaslip::coordination
