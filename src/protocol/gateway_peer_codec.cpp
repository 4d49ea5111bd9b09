#include "protocol/gateway_peer_codec.hpp"

#include "protocol/generated/gateway_peer_types.h"
#include "protocol/thrift_frame.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include <arpa/inet.h>

namespace acaciaslip::protocol {

namespace {

namespace wire = gateway_wire;
namespace fleet = state::gateway;

constexpr char version = 1;
constexpr std::size_t maxDeltaBytes = 33554432; ///< some ten thousand servers and routes
constexpr state::duration ageUnit = std::chrono::milliseconds { 100 };
constexpr state::duration mostAge = ageUnit * std::numeric_limits<std::int16_t>::max();
constexpr int maxEntries = 65536; ///< of one list

std::int64_t toMicroseconds(state::duration span)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

/// Numbers outside what the struct can hold make the whole message void.
struct range_error : std::out_of_range {
    using std::out_of_range::out_of_range;
};

template <typename Number> Number checked(std::int64_t number)
{
    if (number < 0 || static_cast<std::uint64_t>(number) > std::numeric_limits<Number>::max())
        throw range_error("a number is out of range");
    return static_cast<Number>(number);
}

state::duration toSpan(std::int64_t microseconds)
{
    constexpr std::int64_t most = 1'000'000'000'000; // keeps every sum of spans within the clock's range
    if (microseconds < 0 || microseconds > most)
        throw range_error("a span is out of range");
    return std::chrono::microseconds { microseconds };
}

wire::route toWire(const fleet::route& route)
{
    wire::route wired;
    wired.name = route.name;
    wired.host = route.host;
    wired.pathPrefix = route.pathPrefix;
    wired.kind = static_cast<std::int32_t>(route.kind);
    wired.objective = toMicroseconds(route.objective);
    wired.timeout = toMicroseconds(route.timeout);
    wired.attempts = static_cast<std::int32_t>(route.attempts);
    wired.priority = static_cast<std::int32_t>(route.priority);
    for (const auto& part : route.split) {
        auto& added = wired.split.emplace_back();
        added.serviceName = part.service;
        added.weight = static_cast<std::int32_t>(part.weight);
    }
    return wired;
}

fleet::route fromWire(const wire::route& wired)
{
    fleet::route route;
    route.name = wired.name;
    route.host = wired.host;
    route.pathPrefix = wired.pathPrefix;
    route.kind = wired.kind == static_cast<std::int32_t>(fleet::request_kind::idempotent)
        ? fleet::request_kind::idempotent
        : fleet::request_kind::non_idempotent;
    route.objective = toSpan(wired.objective);
    route.timeout = toSpan(wired.timeout);
    route.attempts = checked<std::uint32_t>(wired.attempts);
    route.priority = checked<std::uint32_t>(wired.priority);
    for (const auto& part : wired.split)
        route.split.push_back({ part.serviceName, checked<std::uint32_t>(part.weight) });
    if (route.split.empty())
        throw range_error("a route without a service");
    return route;
}

wire::service_description toWire(const fleet::service& service)
{
    wire::service_description wired;
    wired.name = service.name;
    wired.healthPath = service.healthPath;
    wired.maxConnections = static_cast<std::int32_t>(service.maxConnections);
    wired.coldStart = toMicroseconds(service.coldStart);
    wired.coldRequestsPerSecond = service.coldRequestsPerSecond;
    return wired;
}

wire::configuration toWire(const fleet::configuration& config)
{
    wire::configuration wired;
    wired.version = config.version;
    wired.headerBytes = static_cast<std::int64_t>(config.limits.headerBytes);
    wired.bodyBytes = static_cast<std::int64_t>(config.limits.bodyBytes);
    wired.headerTimeout = toMicroseconds(config.limits.headerTimeout);
    wired.idleTimeout = toMicroseconds(config.limits.idleTimeout);
    for (const auto& route : config.routes)
        wired.routes.push_back(toWire(route));
    for (const auto& service : config.services)
        wired.services.push_back(toWire(service));
    return wired;
}

fleet::configuration fromWire(const wire::configuration& wired)
{
    fleet::configuration config;
    config.version = checked<std::uint32_t>(wired.version);
    config.limits = { checked<std::uint64_t>(wired.headerBytes), checked<std::uint64_t>(wired.bodyBytes),
        toSpan(wired.headerTimeout), toSpan(wired.idleTimeout) };
    for (const auto& route : wired.routes)
        config.routes.push_back(fromWire(route));
    for (const auto& service : wired.services)
        config.services.push_back({ service.name, service.healthPath, checked<std::uint32_t>(service.maxConnections),
            toSpan(service.coldStart), service.coldRequestsPerSecond });
    return config;
}

wire::revised_server toWire(const state::host_id& id, const fleet::revised<fleet::server_entry>& item)
{
    wire::revised_server wired;
    wired.id = id;
    wired.number = static_cast<std::int64_t>(item.number);
    if (!item.value)
        return wired;
    wire::server_entry entry;
    entry.serviceName = item.value->service;
    entry.address = item.value->address;
    entry.dataCentre = item.value->dataCentre;
    entry.slots = static_cast<std::int32_t>(item.value->slots);
    entry.draining = item.value->draining;
    entry.coldLeft = toMicroseconds(item.value->coldLeft);
    entry.startedAtUnixMs = item.value->startedAtUnixMs;
    wired.__set_entry(entry);
    return wired;
}

fleet::revised<fleet::server_entry> fromWire(const wire::revised_server& wired)
{
    fleet::revised<fleet::server_entry> item { checked<state::revision>(wired.number), std::nullopt };
    if (!wired.__isset.entry)
        return item;
    const auto& entry = wired.entry;
    item.value = { wired.id, entry.serviceName, entry.address, entry.dataCentre, checked<std::uint32_t>(entry.slots),
        entry.draining, toSpan(entry.coldLeft), entry.startedAtUnixMs };
    return item;
}

wire::fleet_delta toWire(const fleet::fleet_delta& delta)
{
    wire::fleet_delta wired;
    wired.snapshot = delta.snapshot;
    wired.after = static_cast<std::int64_t>(delta.after);
    wired.asOf = static_cast<std::int64_t>(delta.changes.asOf);
    if (delta.changes.config.value) {
        wired.__set_configNumber(static_cast<std::int64_t>(delta.changes.config.number));
        wired.__set_config(toWire(*delta.changes.config.value));
    }
    for (const auto& [id, item] : delta.changes.servers)
        wired.servers.push_back(toWire(id, item));
    for (const auto& [dataCentre, item] : delta.changes.evacuations) {
        auto& added = wired.evacuations.emplace_back();
        added.dataCentre = dataCentre;
        added.number = static_cast<std::int64_t>(item.number);
        added.evacuated = item.value.has_value();
    }
    return wired;
}

fleet::fleet_delta fromWire(const wire::fleet_delta& wired)
{
    fleet::fleet_delta delta;
    delta.snapshot = wired.snapshot;
    delta.after = checked<state::revision>(wired.after);
    delta.changes.asOf = checked<state::revision>(wired.asOf);
    if (wired.__isset.config && wired.__isset.configNumber)
        delta.changes.config = { checked<state::revision>(wired.configNumber), fromWire(wired.config) };
    for (const auto& server : wired.servers)
        delta.changes.servers[server.id] = fromWire(server);
    for (const auto& evacuation : wired.evacuations) {
        auto& item = delta.changes.evacuations[evacuation.dataCentre];
        item.number = checked<state::revision>(evacuation.number);
        item.value = evacuation.evacuated ? std::optional(fleet::evacuation {}) : std::nullopt;
    }
    return delta;
}

/// The place of a name in a list, which grows by it if need be.
std::int8_t findOrAdd(std::vector<std::string>& names, const std::string& name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    const auto place = found - names.begin();
    if (found == names.end())
        names.push_back(name);
    if (place > std::numeric_limits<std::int8_t>::max())
        throw range_error("too many data centres");
    return static_cast<std::int8_t>(place);
}

wire::peer_heartbeat toWire(const fleet::peer_heartbeat& heartbeat)
{
    wire::peer_heartbeat wired;
    wired.sender = heartbeat.from;
    wired.dataCentre = heartbeat.dataCentre;
    wired.incarnation = heartbeat.incarnation;
    wired.leaving = heartbeat.leaving;
    wired.answerWanted = heartbeat.answerWanted;
    wired.store = static_cast<std::int32_t>(heartbeat.store);
    if (heartbeat.storeUnsettled)
        wired.__set_storeUnsettled(true);
    wired.asOf = static_cast<std::int64_t>(heartbeat.asOf);
    for (const auto& peer : heartbeat.peers) {
        in_addr address {};
        if (inet_pton(AF_INET, peer.ip.c_str(), &address) != 1)
            continue; // no address of ours
        auto& added = wired.peers.emplace_back();
        added.ip = static_cast<std::int32_t>(ntohl(address.s_addr));
        added.dataCentre = findOrAdd(wired.dataCentres, peer.dataCentre);
        added.age = static_cast<std::int16_t>(std::min<state::duration>(peer.age, mostAge) / ageUnit);
    }
    if (heartbeat.delta)
        wired.__set_delta(toWire(*heartbeat.delta));
    return wired;
}

fleet::peer_heartbeat fromWire(const wire::peer_heartbeat& wired)
{
    fleet::peer_heartbeat heartbeat;
    heartbeat.from = wired.sender;
    heartbeat.dataCentre = wired.dataCentre;
    heartbeat.incarnation = wired.incarnation;
    heartbeat.leaving = wired.leaving;
    heartbeat.answerWanted = wired.answerWanted;
    if (wired.store < 0 || wired.store >= static_cast<std::int32_t>(fleet::storeAccessNames.size()))
        throw range_error("an unknown kind of access to the store");
    heartbeat.store = static_cast<fleet::store_access>(wired.store);
    heartbeat.storeUnsettled = wired.__isset.storeUnsettled && wired.storeUnsettled;
    heartbeat.asOf = checked<state::revision>(wired.asOf);
    for (const auto& peer : wired.peers) {
        if (peer.age < 0 || peer.dataCentre < 0
            || static_cast<std::size_t>(peer.dataCentre) >= wired.dataCentres.size())
            throw range_error("a peer's age or data centre is out of range");
        std::array<char, INET_ADDRSTRLEN> ip {};
        const in_addr address { htonl(static_cast<std::uint32_t>(peer.ip)) };
        inet_ntop(AF_INET, &address, ip.data(), ip.size());
        heartbeat.peers.push_back(
            { ip.data(), wired.dataCentres[static_cast<std::size_t>(peer.dataCentre)], peer.age * ageUnit });
    }
    if (wired.__isset.delta)
        heartbeat.delta = fromWire(wired.delta);
    return heartbeat;
}

template <typename Result, typename Struct>
absl::StatusOr<Result> decodeChecked(std::string_view bytes, std::size_t limit)
{
    const auto wired = decodeThrift<Struct>(bytes, version, limit, maxEntries);
    if (!wired.ok())
        return wired.status();
    try {
        return fromWire(*wired);
    } catch (const range_error& error) {
        return absl::OutOfRangeError(error.what());
    }
}

} // namespace

absl::StatusOr<std::string> encodeHeartbeat(const fleet::peer_heartbeat& heartbeat)
{
    return encodeThrift(toWire(heartbeat), version, maxHeartbeatBytes);
}

absl::StatusOr<fleet::peer_heartbeat> decodeHeartbeat(std::string_view bytes)
{
    return decodeChecked<fleet::peer_heartbeat, wire::peer_heartbeat>(bytes, maxHeartbeatBytes);
}

absl::StatusOr<std::string> encodeDelta(const fleet::fleet_delta& delta)
{
    return encodeThrift(toWire(delta), version, maxDeltaBytes);
}

absl::StatusOr<fleet::fleet_delta> decodeDelta(std::string_view bytes)
{
    return decodeChecked<fleet::fleet_delta, wire::fleet_delta>(bytes, maxDeltaBytes);
}

} // namespace acaciaslip::protocol
