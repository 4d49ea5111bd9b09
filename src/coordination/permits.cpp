#include "coordination/permits.hpp"

#include "coordination/node.hpp"

#include <algorithm>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration sequenceMarkInterval = std::chrono::milliseconds { 10 };

std::uint64_t hashOf(const state::host_id& id)
{
    return XXH3_64bits(id.data(), id.size());
}

/// Computes the rendezvous weight of a pair of hashes with the finalizer of a 64-bit mixing function.
constexpr std::uint64_t rendezvousWeight(std::uint64_t server, std::uint64_t host) noexcept
{
    std::uint64_t mixed = server ^ (host * 0x9E3779B97F4A7C15ULL);
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

bool isListed(const node& self, const state::host_id& id)
{
    return std::binary_search(self.fleet.entryHosts.begin(), self.fleet.entryHosts.end(), id);
}

bool mayHoldPermits(const node& self)
{
    return self.phase < node_phase::lame_duck && (self.fleet.entryHosts.empty() || isListed(self, self.settings.id));
}

std::optional<state::time_point> findTime(
    const std::map<state::host_id, state::time_point>& times, const state::host_id& id)
{
    const auto found = times.find(id);
    return found == times.end() ? std::nullopt : std::optional { found->second };
}

/// Adds a host with recent messages to the ranking. Its lease starts at the sending time of the newest message that it
/// has echoed.
void rankActiveHost(permit_state& permits, const state::host_id& id)
{
    const auto acknowledged = findTime(permits.acknowledgedAt, id);
    permits.rankedHosts.push_back({ id, hashOf(id) });
    permits.leaseExpiresAt
        = std::min(permits.leaseExpiresAt, acknowledged ? *acknowledged + permitLease : state::time_point::min());
}

/// Adds a listed host without recent messages to the ranking, until no message has arrived for `hostTimeout`.
void rankInactiveHost(permit_state& permits, const state::host_id& id, state::time_point since, state::time_point now)
{
    if (now - since >= hostTimeout)
        return;
    permits.rankedHosts.push_back({ id, hashOf(id) });
    if (now - *permits.startedAt < hostTimeout)
        permits.leaseExpiresAt = state::time_point::min();
}

std::uint32_t peersInFlight(const state::server_record& server, state::time_point now)
{
    std::uint32_t total = 0;
    for (const auto& [id, load] : server.load.peers) {
        if (load.inFlight == 0)
            continue;
        if (now - load.receivedAt < hostTimeout)
            total += load.inFlight;
    }
    return total;
}

bool hasEjected(const state::server_record& server, const state::host_id& host, state::time_point now)
{
    if (server.ejectedBy.empty())
        return false;
    const auto found = server.ejectedBy.find(host);
    return found != server.ejectedBy.end() && now < found->second;
}

std::uint32_t permitCount(const node& self, const state::server_record& server, state::time_point now)
{
    const auto serverHash = hashOf(server.id);
    const auto own = rendezvousWeight(serverHash, self.permits.ownHash);
    std::uint32_t hosts = 1;
    std::uint32_t rank = 0;
    for (const auto& host : self.permits.rankedHosts) {
        if (hasEjected(server, host.id, now))
            continue;
        ++hosts;
        rank += rendezvousWeight(serverHash, host.hash) > own ? 1 : 0;
    }
    return server.limit / hosts + (rank < server.limit % hosts ? 1 : 0);
}

/// Records at intervals which message sequence numbers are still unused.
void recordSequenceMark(node& self, state::time_point now)
{
    auto& sequenceMarks = self.permits.sequenceMarks;
    if (sequenceMarks.empty() || now - sequenceMarks.back().at >= sequenceMarkInterval)
        sequenceMarks.push_back({ self.nextSequence, now });
    while (sequenceMarks.size() > 1 && now - sequenceMarks.front().at > permitLease)
        sequenceMarks.pop_front();
}

} // namespace

std::uint32_t coldAllowance(const node& self, const state::server_record& server, state::time_point now)
{
    if (now >= self.permits.leaseExpiresAt || now < self.permits.usableFrom || !mayHoldPermits(self))
        return 0;
    if (server.ejections > 0 && now < server.ejectedUntil + ejectionReturnDelay)
        return 0;
    const auto permits = permitCount(self, server, now);
    if (permits == 0)
        return 0;
    const auto others = peersInFlight(server, now);
    return others >= server.limit ? 0 : std::min(permits, server.limit - others);
}

void refreshPermits(node& self, state::time_point now)
{
    auto& permits = self.permits;
    if (!permits.startedAt)
        permits.startedAt = now;
    permits.ownHash = hashOf(self.settings.id);
    const bool hadLease = now < permits.leaseExpiresAt;
    permits.rankedHosts.clear();
    permits.leaseExpiresAt = state::time_point::max();
    std::erase_if(permits.receivedAt, [&](const auto& entry) { return now - entry.second >= hostTimeout; });
    for (const auto& [id, time] : permits.receivedAt)
        rankActiveHost(permits, id);
    for (const auto& [id, since] : permits.listedSince) {
        if (id != self.settings.id && !permits.receivedAt.contains(id))
            rankInactiveHost(permits, id, since, now);
    }
    const auto others = permits.listedSince.size() - permits.listedSince.count(self.settings.id);
    if (others > 0 && permits.receivedAt.empty())
        permits.leaseExpiresAt = state::time_point::min();
    if (!hadLease && now < permits.leaseExpiresAt)
        permits.usableFrom = now + handoverDelay;
    recordSequenceMark(self, now);
}

void applyEcho(node& self, const state::peer_message& message, state::time_point now)
{
    auto& sequenceMarks = self.permits.sequenceMarks;
    if (message.echoIncarnation == self.incarnation && message.echoSequence != 0) {
        // The echoed message was sent after every mark at which its sequence number was still unused.
        const auto after = std::find_if(sequenceMarks.rbegin(), sequenceMarks.rend(),
            [&](const auto& mark) { return mark.nextSequence <= message.echoSequence; });
        if (after != sequenceMarks.rend()) {
            auto& acknowledged = self.permits.acknowledgedAt[message.sender];
            acknowledged = std::max(acknowledged, after->at);
        }
    }
    auto& receivedAt = self.permits.receivedAt;
    const auto found = receivedAt.find(message.sender);
    if (!message.leaving)
        receivedAt[message.sender] = now;
    else if (found != receivedAt.end())
        found->second = std::min(found->second, now - hostTimeout + handoverDelay);
    refreshPermits(self, now);
}

void updatePermitHosts(node& self, state::time_point now)
{
    std::map<state::host_id, state::time_point> listed;
    for (const auto& id : self.fleet.entryHosts)
        listed[id] = findTime(self.permits.listedSince, id).value_or(now);
    self.permits.listedSince = std::move(listed);
}

} // namespace acaciaslip::coordination
