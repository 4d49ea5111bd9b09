#include "protocol/node_snapshot.hpp"

#include "coordination/permits.hpp"
#include "coordination/picking.hpp"

#include <algorithm>

namespace acaciaslip::protocol {

namespace {

service_snapshot copyService(const state::service_record& service)
{
    return { service.settings, service.active, service.members.size(), service.activity.waiting.size(),
        service.activity.retries.tokens, service.activity.hedges.tokens };
}

value_snapshot copyValue(const state::value_key& key, const state::value_record& record)
{
    value_snapshot copy { key, record.active.number, record.active.source, record.active.receivedAt,
        record.active.body.size(), {}, {}, {} };
    if (record.rejected) {
        copy.rejected = record.rejected->number;
        copy.rejectedAt = record.rejected->receivedAt;
        copy.rejectionReason = record.rejectionReason;
    }
    return copy;
}

peer_snapshot copyPeer(const state::peer_record& peer)
{
    return { peer.id, peer.address, peer.dataCentre, peer.listed, peer.leaving, peer.incarnation, peer.sequence,
        peer.receivedAt };
}

double probesPerSecond(const state::probe_schedule& schedule)
{
    if (schedule.interval <= state::duration::zero())
        return 0;
    return 1 / std::chrono::duration<double>(schedule.interval).count();
}

server_snapshot copyServer(const coordination::node& node, const state::server_record& server, state::time_point now)
{
    return { server, coordination::isEligible(server), coordination::coldAllowance(node, server, now),
        probesPerSecond(server.probing) };
}

} // namespace

node_snapshot copyOverview(const coordination::node& node, state::time_point now)
{
    node_snapshot copy;
    copy.copiedAt = now;
    copy.settings = node.settings;
    copy.incarnation = node.incarnation;
    copy.phase = node.phase;
    copy.phaseSince = node.phaseSince;
    copy.staleSince = node.staleSince;
    copy.usingStaleState = node.refresh.usingStaleState;
    copy.permitLeaseExpiresAt = node.permits.leaseExpiresAt;
    copy.requestsInProgress = node.requests.requests.size();
    copy.attemptsInProgress = node.requests.attempts.size();
    copy.entryHosts = node.fleet.entryHosts.size();
    copy.services.reserve(node.fleet.services.size());
    for (const auto& service : node.fleet.services)
        copy.services.push_back(copyService(service));
    copy.values.reserve(node.values.size());
    for (const auto& [key, record] : node.values)
        copy.values.push_back(copyValue(key, record));
    copy.peers.reserve(node.peers.size());
    for (const auto& [id, peer] : node.peers)
        copy.peers.push_back(copyPeer(peer));
    copy.counters = node.counters;
    copy.servers.reserve(node.fleet.servers.size());
    return copy;
}

bool copyServers(const coordination::node& node, state::time_point now, node_snapshot& snapshot)
{
    for (auto index = snapshot.services.size(); index < node.fleet.services.size(); ++index)
        snapshot.services.push_back(copyService(node.fleet.services[index])); // added after the overview was copied
    const auto& servers = node.fleet.servers;
    const auto last = std::min(servers.size(), snapshot.servers.size() + serversPerCopy);
    for (auto index = snapshot.servers.size(); index < last; ++index)
        snapshot.servers.push_back(copyServer(node, servers[index], now));
    return last < servers.size();
}

node_snapshot copyNode(const coordination::node& node, state::time_point now)
{
    auto copy = copyOverview(node, now);
    while (copyServers(node, now, copy)) { }
    return copy;
}

} // namespace acaciaslip::protocol
