#include "protocol/gateway_codec/heartbeat.hpp"

#include "protocol/gateway_codec/fleet.hpp"
#include "protocol/gateway_codec/known_peers.hpp"
#include "protocol/gateway_codec/numbers.hpp"
#include "protocol/gateway_codec/reports.hpp"

namespace acaciaslip::protocol::gateway_codec {

namespace wire = gateway_wire;
namespace fleet = state::gateway;

wire::peer_heartbeat toWire(const fleet::peer_heartbeat& heartbeat)
{
    wire::peer_heartbeat wireStruct;
    wireStruct.sender = heartbeat.sender;
    wireStruct.dataCentre = heartbeat.dataCentre;
    wireStruct.incarnation = heartbeat.incarnation;
    wireStruct.leaving = heartbeat.leaving;
    wireStruct.answerWanted = heartbeat.replyRequested;
    wireStruct.store = static_cast<std::int32_t>(heartbeat.store);
    if (heartbeat.storeUnsettled)
        wireStruct.__set_storeUnsettled(true);
    wireStruct.asOf = static_cast<std::int64_t>(heartbeat.asOf);
    if (heartbeat.fleetTime)
        wireStruct.__set_fleetTime(toMicroseconds(heartbeat.fleetTime->time_since_epoch()));
    wireStruct.__set_packedPeers(packPeers(heartbeat.peers, wireStruct.dataCentres));
    for (const auto& notice : heartbeat.limits)
        wireStruct.limits.push_back(toWire(notice));
    wireStruct.__isset.limits = !heartbeat.limits.empty();
    for (const auto& report : heartbeat.crashes) {
        const bool isExact = report.scope == fleet::digest_scope::exact;
        (isExact ? wireStruct.crashes : wireStruct.crashesAnyQuery).push_back(toWire(report));
    }
    wireStruct.__isset.crashes = !wireStruct.crashes.empty();
    wireStruct.__isset.crashesAnyQuery = !wireStruct.crashesAnyQuery.empty();
    if (heartbeat.storeNewsAt)
        wireStruct.__set_storeNewsAt(toMicroseconds(heartbeat.storeNewsAt->time_since_epoch()));
    if (heartbeat.classDemand) {
        for (const auto& demand : *heartbeat.classDemand)
            wireStruct.classDemand.push_back(toWire(demand));
        wireStruct.__isset.classDemand = true;
    }
    for (const auto& report : heartbeat.allowanceReports)
        wireStruct.allowanceReports.push_back(toWire(report));
    wireStruct.__isset.allowanceReports = !heartbeat.allowanceReports.empty();
    for (const auto& notice : heartbeat.allowanceNotices)
        wireStruct.allowanceNotices.push_back(toWire(notice));
    wireStruct.__isset.allowanceNotices = !heartbeat.allowanceNotices.empty();
    if (heartbeat.delta)
        wireStruct.__set_delta(toWire(*heartbeat.delta));
    return wireStruct;
}

fleet::peer_heartbeat fromWire(const wire::peer_heartbeat& wireStruct)
{
    fleet::peer_heartbeat heartbeat;
    heartbeat.sender = wireStruct.sender;
    heartbeat.dataCentre = wireStruct.dataCentre;
    heartbeat.incarnation = wireStruct.incarnation;
    heartbeat.leaving = wireStruct.leaving;
    heartbeat.replyRequested = wireStruct.answerWanted;
    if (wireStruct.store < 0 || wireStruct.store >= static_cast<std::int32_t>(fleet::storeAccessNames.size()))
        throw range_error("unknown store access value");
    heartbeat.store = static_cast<fleet::store_access>(wireStruct.store);
    heartbeat.storeUnsettled = wireStruct.__isset.storeUnsettled && wireStruct.storeUnsettled;
    heartbeat.asOf = checked<state::revision>(wireStruct.asOf);
    if (wireStruct.__isset.fleetTime)
        heartbeat.fleetTime = toFleetTime(wireStruct.fleetTime);
    if (wireStruct.__isset.storeNewsAt)
        heartbeat.storeNewsAt = toFleetTime(wireStruct.storeNewsAt);
    for (const auto& peer : wireStruct.peers)
        heartbeat.peers.push_back(
            makePeer(static_cast<std::uint32_t>(peer.ip), peer.dataCentre, peer.age, wireStruct.dataCentres));
    if (wireStruct.__isset.packedPeers)
        unpackPeers(wireStruct.packedPeers, wireStruct.dataCentres, heartbeat.peers);
    for (const auto& notice : wireStruct.limits)
        heartbeat.limits.push_back(fromWire(notice));
    for (const auto& report : wireStruct.crashes)
        heartbeat.crashes.push_back(fromWire(report));
    for (const auto& report : wireStruct.crashesAnyQuery)
        heartbeat.crashes.emplace_back(fromWire(report)).scope = fleet::digest_scope::any_query;
    if (wireStruct.__isset.classDemand) {
        auto& demands = heartbeat.classDemand.emplace();
        for (const auto& demand : wireStruct.classDemand)
            demands.push_back(fromWire(demand));
    }
    for (const auto& report : wireStruct.allowanceReports)
        heartbeat.allowanceReports.push_back(fromWire(report));
    for (const auto& notice : wireStruct.allowanceNotices)
        heartbeat.allowanceNotices.push_back(fromWire(notice));
    if (wireStruct.__isset.delta)
        heartbeat.delta = fromWire(wireStruct.delta);
    return heartbeat;
}

} // namespace acaciaslip::protocol::gateway_codec
