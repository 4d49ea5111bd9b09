#include "coordination/peer_telling.hpp"

#include "coordination/conditions.hpp"
#include "coordination/membership.hpp"
#include "coordination/message_size.hpp"
#include "coordination/node.hpp"
#include "coordination/settings_spread.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr std::uint32_t conditionSends = 2;
constexpr std::uint32_t revisionSends = 3;
constexpr std::uint32_t zeroLoadRepeats = 3;
constexpr state::duration loadRepeatInterval = std::chrono::seconds { 1 };
constexpr state::duration nearFullInterval = std::chrono::seconds { 2 };
constexpr state::duration farFullInterval = std::chrono::seconds { 10 };
constexpr state::duration farFullIntervalForPeer = std::chrono::milliseconds { 250 };
constexpr std::size_t conditionsRepeated = 1; ///< per heartbeat
constexpr std::size_t conditionsRepeatedFull = 6; ///< per full heartbeat
/// How long a newly listed host is introduced to peers whose list may not contain it yet.
constexpr state::duration introductionLasts = std::chrono::seconds { 60 };
constexpr std::size_t introductionsPerMessage = 4;
constexpr std::size_t peersAsked = 3; ///< per request for revisions
constexpr std::size_t leastPayload = 48; ///< bytes of an empty heartbeat
/// Maximum heartbeat payload in bytes; a full token bucket must always have room for it.
constexpr auto maxHeartbeatBytes
    = static_cast<std::size_t>(sentBurstBytes - urgentReserveBytes) - datagramHeaderBytes - 16;

/// A message under construction, and what the outbox has to record once it is sent.
struct draft {
    state::peer_message message;
    std::vector<state::server_index> loadServers; ///< server of each entry in message.loads
    std::size_t pendingConditions
        = 0; ///< leading entries of message.conditions that are pending changes; the others are repetitions
    std::size_t nextCondition = 0;
    std::size_t nextLoad = 0;
    std::size_t nextIntroduction = 0;
    bool full = false;
};

draft beginDraft(const node& self, const state::peer_record& peer)
{
    draft made;
    made.message.from = self.settings.id;
    made.message.incarnation = self.incarnation;
    made.message.sequence = self.nextSequence;
    made.message.leaving = self.phase >= node_phase::lame_duck;
    made.message.echoIncarnation = peer.incarnation;
    made.message.echoSequence = peer.sequence;
    return made;
}

/// Adds a condition if the message stays within the limit.
/// \return false if it does not fit
bool addCondition(const state::condition_change& change, std::size_t payloadLimit, draft& made)
{
    made.message.conditions.push_back(change);
    if (boundMessageSize(made.message) <= payloadLimit)
        return true;
    made.message.conditions.pop_back();
    return false;
}

void addConditions(const state::peer_outbox& outbox, draft& made)
{
    for (const auto& pending : outbox.conditions) {
        if (!addCondition(pending.change, maxHeartbeatBytes, made))
            return;
        ++made.pendingConditions;
    }
}

/// Repeats some conditions, because messages may have been lost or the peer may have restarted.
void repeatConditions(
    const node& self, const state::peer_outbox& outbox, std::size_t payloadLimit, state::time_point now, draft& made)
{
    made.nextCondition = outbox.nextCondition;
    const auto most = made.full ? conditionsRepeatedFull : conditionsRepeated;
    for (const auto& change : conditionsToRepeat(self, made.nextCondition, most, now)) {
        if (!addCondition(change, payloadLimit, made))
            return;
    }
}

bool isLoadDue(const state::server_record& server, const state::told_load& told, state::time_point now) noexcept
{
    if (server.listing == state::host_listing::absent)
        return false;
    if (server.ownInFlight != told.inFlight)
        return true;
    return (told.inFlight > 0 || told.repeatsLeft > 0) && now - told.at >= loadRepeatInterval;
}

void addLoads(
    const node& self, const state::peer_outbox& outbox, std::size_t payloadLimit, state::time_point now, draft& made)
{
    const auto& tags = self.serverTags.byServer;
    const auto count = std::min(tags.size(), self.fleet.servers.size());
    auto bytes = boundMessageSize(made.message);
    constexpr state::told_load neverTold {};
    for (std::size_t step = 0; step < count; ++step) {
        const auto index = static_cast<state::server_index>((outbox.nextLoad + step) % count);
        const auto& server = self.fleet.servers[index];
        const auto& told = index < outbox.loads.size() ? outbox.loads[index] : neverTold;
        if (!isLoadDue(server, told, now) || findServer(self.serverTags, tags[index]) != index)
            continue;
        const state::load_delta load { tags[index], server.ownInFlight };
        bytes += boundLoadSize(load);
        if (bytes > payloadLimit || made.message.loads.size() == maxListEntries)
            return;
        made.message.loads.push_back(load);
        made.loadServers.push_back(index);
        made.nextLoad = index + 1;
    }
}

void addIntroductions(const node& self, const state::peer_record& peer, state::time_point now, draft& made)
{
    std::vector<const state::peer_record*> recent;
    for (const auto& [id, other] : self.peers) {
        if (id != peer.id && other.listed && now - other.listedSince < introductionLasts)
            recent.push_back(&other);
    }
    made.nextIntroduction = peer.outbox.nextIntroduction + introductionsPerMessage;
    for (std::size_t step = 0; step < std::min(introductionsPerMessage, recent.size()); ++step) {
        const auto& other = *recent[(peer.outbox.nextIntroduction + step) % recent.size()];
        made.message.introduced.push_back({ other.id, other.address, other.dataCentre });
    }
}

draft makeHeartbeat(const node& self, const state::peer_record& peer, const peer_counts& counts, state::time_point now)
{
    auto made = beginDraft(self, peer);
    made.full = now >= peer.outbox.nextFullAt;
    addConditions(peer.outbox, made);
    if (made.full || peer.outbox.revisionSendsLeft > 0)
        made.message.revisions = listRevisions(self);
    if (made.full)
        addIntroductions(self, peer, now, made);
    const auto limit = peer.near || made.full ? maxHeartbeatBytes : farPayloadLimit(counts);
    repeatConditions(self, peer.outbox, limit, now, made);
    addLoads(self, peer.outbox, limit, now, made);
    return made;
}

/// Makes a message of urgent updates only, to keep it small.
draft makeUrgent(const node& self, const state::peer_record& peer)
{
    auto made = beginDraft(self, peer);
    if (peer.outbox.urgentRevisions)
        made.message.revisions = listRevisions(self);
    addConditions(peer.outbox, made);
    made.nextCondition = peer.outbox.nextCondition;
    return made;
}

void markLoads(const draft& sent, state::time_point now, state::peer_outbox& outbox)
{
    for (std::size_t entry = 0; entry < sent.loadServers.size(); ++entry) {
        const auto index = sent.loadServers[entry];
        if (outbox.loads.size() <= index)
            outbox.loads.resize(index + 1);
        auto& told = outbox.loads[index];
        const auto inFlight = sent.message.loads[entry].inFlight;
        if (told.inFlight != inFlight)
            told.repeatsLeft = zeroLoadRepeats;
        else if (inFlight == 0)
            --told.repeatsLeft;
        told.inFlight = inFlight;
        told.at = now;
    }
    if (!sent.loadServers.empty())
        outbox.nextLoad = sent.nextLoad;
}

void markConditions(const draft& sent, state::peer_outbox& outbox)
{
    const auto count = sent.pendingConditions;
    for (std::size_t index = 0; index < count; ++index)
        --outbox.conditions[index].sendsLeft;
    // Conditions that did not fit go first in the next message.
    std::rotate(outbox.conditions.begin(), outbox.conditions.begin() + static_cast<std::ptrdiff_t>(count),
        outbox.conditions.end());
    std::erase_if(outbox.conditions, [](const auto& pending) { return pending.sendsLeft == 0; });
    outbox.urgentConditions = std::any_of(outbox.conditions.begin(), outbox.conditions.end(),
        [](const auto& pending) { return pending.sendsLeft == conditionSends; });
    outbox.nextCondition = sent.nextCondition;
}

/// Records in the peer's outbox what was sent to it.
void mark(const draft& sent, std::size_t peers, state::time_point now, state::peer_record& peer)
{
    auto& outbox = peer.outbox;
    markLoads(sent, now, outbox);
    markConditions(sent, outbox);
    if (!sent.message.revisions.empty()) {
        outbox.revisionSendsLeft -= outbox.revisionSendsLeft > 0 ? 1 : 0;
        outbox.urgentRevisions = false;
    }
    if (sent.full) {
        outbox.nextFullAt = now
            + (peer.near ? nearFullInterval
                         : std::max(farFullInterval, farFullIntervalForPeer * static_cast<std::int64_t>(peers)));
        outbox.nextIntroduction = sent.nextIntroduction;
    }
}

bool send(node& self, const std::string& address, state::peer_message message, send_class wanted, state::time_point now,
    effect_list& effects)
{
    const auto bytes = boundMessageSize(message);
    if (!takeBytes(self.telling.bytes, bytes, wanted, now))
        return false;
    ++self.nextSequence;
    ++self.counters.peerMessagesSent;
    self.counters.controlBytesSent += bytes + datagramHeaderBytes;
    effects.emplace_back(tell_peer { address, std::move(message) });
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
bool tellUrgent(node& self, bool near, state::time_point now, effect_list& effects)
{
    return visitPeers(self, [&](state::peer_record& peer) {
        if (peer.near != near || (!peer.outbox.urgentConditions && !peer.outbox.urgentRevisions))
            return true;
        const auto made = makeUrgent(self, peer);
        if (!send(self, peer.address, made.message, send_class::urgent, now, effects))
            return false;
        mark(made, self.peers.size(), now, peer);
        return true;
    });
}

void tellUrgent(node& self, state::time_point now, effect_list& effects)
{
    if (self.telling.hasUrgentNews && tellUrgent(self, true, now, effects) && tellUrgent(self, false, now, effects))
        self.telling.hasUrgentNews = false;
}

/// Sends a heartbeat.
/// \return payload size in bytes; nothing if the byte budget was exhausted
std::optional<std::size_t> sendHeartbeat(
    node& self, state::peer_record& peer, const peer_counts& counts, state::time_point now, effect_list& effects)
{
    const auto made = makeHeartbeat(self, peer, counts, now);
    if (!send(self, peer.address, made.message, send_class::heartbeat, now, effects))
        return std::nullopt;
    mark(made, self.peers.size(), now, peer);
    return boundMessageSize(made.message);
}

void tellNear(node& self, const peer_counts& counts, state::time_point now, effect_list& effects)
{
    (void)visitPeers(self, [&](state::peer_record& peer) {
        if (!peer.near || now < peer.outbox.nextTellAt)
            return true;
        const auto bytes = sendHeartbeat(self, peer, counts, now, effects);
        if (bytes)
            peer.outbox.nextTellAt = now + nearPause(*bytes, counts);
        return bytes.has_value();
    });
}

/// Chooses the next peer in another data centre, round robin.
/// \return null if there is none
state::peer_record* findNextFar(node& self)
{
    const auto& last = self.telling.lastFar;
    const auto start = self.peers.upper_bound(last.empty() ? self.settings.id : last);
    const auto isFar = [](const auto& entry) { return !entry.second.near; };
    auto found = std::find_if(start, self.peers.end(), isFar);
    if (found == self.peers.end())
        found = std::find_if(self.peers.begin(), start, isFar);
    return found == self.peers.end() || found->second.near ? nullptr : &found->second;
}

void tellFar(node& self, const peer_counts& counts, state::time_point now, effect_list& effects)
{
    if (now < self.telling.nextFarAt)
        return;
    auto* const peer = findNextFar(self);
    if (peer == nullptr)
        return;
    const auto bytes = sendHeartbeat(self, *peer, counts, now, effects);
    if (!bytes)
        return;
    self.telling.lastFar = peer->id;
    // The size that counts is capped: an occasional full message uses bytes that short heartbeats leave unused, and so
    // it does not delay the heartbeats to other peers.
    self.telling.nextFarAt = now + farPause(std::min(*bytes, std::max(farPayloadLimit(counts), leastPayload)), counts);
}

/// Orders the peers for a request: live before silent ones, then the same data centre before others, then at random.
std::vector<const state::peer_record*> orderToAsk(const node& self, state::time_point now, random_generator& random)
{
    struct ranked {
        int rank;
        std::uint32_t lot;
        const state::peer_record* peer;
    };
    std::vector<ranked> order;
    for (const auto& [id, peer] : self.peers)
        order.push_back({ (isHeard(peer, now) ? 0 : 2) + (peer.near ? 0 : 1), random(), &peer });
    std::sort(order.begin(), order.end(), [](const ranked& left, const ranked& right) {
        return std::tie(left.rank, left.lot) < std::tie(right.rank, right.lot);
    });
    std::vector<const state::peer_record*> peers;
    peers.reserve(order.size());
    for (const auto& entry : order)
        peers.push_back(entry.peer);
    return peers;
}

} // namespace

void tellPeers(node& self, state::time_point now, effect_list& effects)
{
    tellUrgent(self, now, effects);
    const auto counts = countPeers(self);
    tellFar(self, counts, now, effects);
    tellNear(self, counts, now, effects);
}

void tellConditionChange(node& self, const state::condition_change& change, state::time_point now, effect_list& effects)
{
    for (auto& [id, peer] : self.peers) {
        std::erase_if(
            peer.outbox.conditions, [&](const auto& pending) { return pending.change.server == change.server; });
        peer.outbox.conditions.insert(peer.outbox.conditions.begin(), { change, conditionSends });
        peer.outbox.urgentConditions = true;
    }
    self.telling.hasUrgentNews = true;
    tellUrgent(self, now, effects);
}

void tellRevisionChange(node& self, state::time_point now, effect_list& effects)
{
    for (auto& [id, peer] : self.peers) {
        peer.outbox.revisionSendsLeft = revisionSends;
        peer.outbox.urgentRevisions = peer.near;
    }
    self.telling.hasUrgentNews = true;
    tellUrgent(self, now, effects);
}

std::size_t askPeers(
    node& self, std::uint64_t question, state::time_point now, random_generator& random, effect_list& effects)
{
    std::size_t asked = 0;
    for (const auto* peer : orderToAsk(self, now, random)) {
        auto made = beginDraft(self, *peer);
        made.message.question = question;
        if (asked == peersAsked || !send(self, peer->address, made.message, send_class::urgent, now, effects))
            break;
        ++asked;
    }
    return asked;
}

void answerPeer(
    node& self, const state::peer_record& peer, std::uint64_t question, state::time_point now, effect_list& effects)
{
    auto made = beginDraft(self, peer);
    made.message.answerTo = question;
    made.message.revisions = listRevisions(self);
    (void)send(self, peer.address, std::move(made.message), send_class::urgent, now, effects);
}

} // namespace acaciaslip::coordination
