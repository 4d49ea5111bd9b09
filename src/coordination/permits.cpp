#include "coordination/permits.hpp"

#include "coordination/node.hpp"

#include <algorithm>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration markInterval = std::chrono::milliseconds { 10 };

std::uint64_t hashOf(const state::host_id& id)
{
    return XXH3_64bits(id.data(), id.size());
}

/// Weighs a pair of hashes for the rendezvous: the finalizer of a 64-bit mix.
constexpr std::uint64_t weigh(std::uint64_t server, std::uint64_t host) noexcept
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

/// Ranks a host that has been heard: its lease runs from the newest message that it has echoed.
void countHeard(permit_state& permits, const state::host_id& id)
{
    const auto confirmed = findTime(permits.confirmedAt, id);
    permits.counted.push_back({ id, hashOf(id) });
    permits.leaseUntil = std::min(permits.leaseUntil, confirmed ? *confirmed + permitLease : state::time_point::min());
}

/// Ranks a host that is listed and silent, until it has been silent long enough.
void countSilent(permit_state& permits, const state::host_id& id, state::time_point since, state::time_point now)
{
    if (now - since >= absentAfter)
        return;
    permits.counted.push_back({ id, hashOf(id) });
    if (now - *permits.listeningSince < absentAfter)
        permits.leaseUntil = state::time_point::min();
}

std::uint32_t peersInFlight(const state::server_record& server, state::time_point now)
{
    std::uint32_t total = 0;
    for (const auto& [id, load] : server.load.peers) {
        if (load.inFlight == 0)
            continue;
        if (now - load.heardAt < absentAfter)
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

std::uint32_t permitsOf(const node& self, const state::server_record& server, state::time_point now)
{
    const auto serverHash = hashOf(server.id);
    const auto own = weigh(serverHash, self.permits.ownHash);
    std::uint32_t hosts = 1;
    std::uint32_t rank = 0;
    for (const auto& host : self.permits.counted) {
        if (hasEjected(server, host.id, now))
            continue;
        ++hosts;
        rank += weigh(serverHash, host.hash) > own ? 1 : 0;
    }
    return server.limit / hosts + (rank < server.limit % hosts ? 1 : 0);
}

/// Notes which message numbers are still unused, once a while.
void markSent(node& self, state::time_point now)
{
    auto& marks = self.permits.marks;
    if (marks.empty() || now - marks.back().at >= markInterval)
        marks.push_back({ self.nextSequence, now });
    while (marks.size() > 1 && now - marks.front().at > permitLease)
        marks.pop_front();
}

} // namespace

std::uint32_t coldAllowance(const node& self, const state::server_record& server, state::time_point now)
{
    if (now >= self.permits.leaseUntil || now < self.permits.usableFrom || !mayHoldPermits(self))
        return 0;
    if (server.ejections > 0 && now < server.ejectedUntil + returnGap)
        return 0;
    const auto permits = permitsOf(self, server, now);
    if (permits == 0)
        return 0;
    const auto others = peersInFlight(server, now);
    return others >= server.limit ? 0 : std::min(permits, server.limit - others);
}

void refreshPermits(node& self, state::time_point now)
{
    auto& permits = self.permits;
    if (!permits.listeningSince)
        permits.listeningSince = now;
    permits.ownHash = hashOf(self.settings.id);
    const bool hadLease = now < permits.leaseUntil;
    permits.counted.clear();
    permits.leaseUntil = state::time_point::max();
    std::erase_if(permits.heardAt, [&](const auto& entry) { return now - entry.second >= absentAfter; });
    for (const auto& [id, heard] : permits.heardAt)
        countHeard(permits, id);
    for (const auto& [id, since] : permits.listedSince) {
        if (id != self.settings.id && !permits.heardAt.contains(id))
            countSilent(permits, id, since, now);
    }
    const auto others = permits.listedSince.size() - permits.listedSince.count(self.settings.id);
    if (others > 0 && permits.heardAt.empty())
        permits.leaseUntil = state::time_point::min();
    if (!hadLease && now < permits.leaseUntil)
        permits.usableFrom = now + handoverGap;
    markSent(self, now);
}

void noteEcho(node& self, const state::peer_message& message, state::time_point now)
{
    auto& marks = self.permits.marks;
    if (message.echoIncarnation == self.incarnation && message.echoSequence != 0) {
        // The echoed message was sent after every mark at which its number was not yet used.
        const auto after = std::find_if(
            marks.rbegin(), marks.rend(), [&](const auto& mark) { return mark.nextSequence <= message.echoSequence; });
        if (after != marks.rend()) {
            auto& confirmed = self.permits.confirmedAt[message.from];
            confirmed = std::max(confirmed, after->at);
        }
    }
    auto& heardAt = self.permits.heardAt;
    const auto found = heardAt.find(message.from);
    if (!message.leaving)
        heardAt[message.from] = now;
    else if (found != heardAt.end())
        found->second = std::min(found->second, now - absentAfter + handoverGap);
    refreshPermits(self, now);
}

void notePermitHosts(node& self, state::time_point now)
{
    std::map<state::host_id, state::time_point> listed;
    for (const auto& id : self.fleet.entryHosts)
        listed[id] = findTime(self.permits.listedSince, id).value_or(now);
    self.permits.listedSince = std::move(listed);
}

} // namespace acaciaslip::coordination
