#include "protocol/gateway_peer_codec.hpp"

#include "protocol/generated/gateway_peer_types.h"
#include "protocol/thrift_frame.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <limits>

#include <arpa/inet.h>

namespace acaciaslip::protocol {

namespace {

namespace wire = gateway_wire;
namespace fleet = state::gateway;

constexpr char version = 1;
constexpr std::size_t maxDeltaBytes = 33554432; ///< about ten thousand servers and routes
constexpr state::duration ageUnit = std::chrono::milliseconds { 100 };
constexpr state::duration maxAge = ageUnit * std::numeric_limits<std::int16_t>::max();
constexpr int maxEntries = 65536; ///< per list
constexpr std::size_t packedPeerBytes = 7; ///< see `packedPeers` in gateway_peer.thrift

std::int64_t toMicroseconds(state::duration span)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

/// Thrown for a number outside the range of its field; the whole message is then rejected.
struct range_error : std::out_of_range {
    using std::out_of_range::out_of_range;
};

template <typename Number> Number checked(std::int64_t number)
{
    if (number < 0 || static_cast<std::uint64_t>(number) > std::numeric_limits<Number>::max())
        throw range_error("number out of range");
    return static_cast<Number>(number);
}

/// Thrift has no unsigned integers: a number is sent as the signed one with the same bits, so that every value of the
/// platform's settings arrives unchanged.
std::int32_t toSigned(std::uint32_t number) noexcept
{
    return std::bit_cast<std::int32_t>(number);
}

std::uint32_t toUnsigned(std::int32_t number) noexcept
{
    return std::bit_cast<std::uint32_t>(number);
}

state::duration toDuration(std::int64_t microseconds)
{
    constexpr std::int64_t maxMicroseconds = 1'000'000'000'000; // keeps sums of durations within the range of the clock
    if (microseconds < 0 || microseconds > maxMicroseconds)
        throw range_error("duration out of range");
    return std::chrono::microseconds { microseconds };
}

state::time_point toFleetTime(std::int64_t microseconds)
{
    constexpr std::int64_t maxMicroseconds = 1'000'000'000'000'000; // 30 years of a fleet without a stop
    if (microseconds < 0 || microseconds > maxMicroseconds)
        throw range_error("fleet time out of range");
    return state::time_point { std::chrono::microseconds { microseconds } };
}

wire::route toWire(const fleet::route& route)
{
    wire::route wireStruct;
    wireStruct.name = route.name;
    wireStruct.host = route.host;
    wireStruct.pathPrefix = route.pathPrefix;
    wireStruct.kind = static_cast<std::int32_t>(route.kind);
    wireStruct.objective = toMicroseconds(route.objective);
    wireStruct.timeout = toMicroseconds(route.timeout);
    wireStruct.attempts = toSigned(route.attempts);
    wireStruct.priority = toSigned(route.priority);
    for (const auto& part : route.split) {
        auto& added = wireStruct.split.emplace_back();
        added.serviceName = part.service;
        added.weight = toSigned(part.weight);
    }
    if (route.anonymous)
        wireStruct.__set_anonymous(true);
    return wireStruct;
}

fleet::route fromWire(const wire::route& wireStruct)
{
    fleet::route route;
    route.name = wireStruct.name;
    route.host = wireStruct.host;
    route.pathPrefix = wireStruct.pathPrefix;
    route.kind = wireStruct.kind == static_cast<std::int32_t>(fleet::request_kind::idempotent)
        ? fleet::request_kind::idempotent
        : fleet::request_kind::non_idempotent;
    route.objective = toDuration(wireStruct.objective);
    route.timeout = toDuration(wireStruct.timeout);
    route.attempts = toUnsigned(wireStruct.attempts);
    route.priority = toUnsigned(wireStruct.priority);
    for (const auto& part : wireStruct.split)
        route.split.push_back({ part.serviceName, toUnsigned(part.weight) });
    if (route.split.empty())
        throw range_error("route has no service");
    route.anonymous = wireStruct.__isset.anonymous && wireStruct.anonymous;
    return route;
}

std::vector<wire::team> toWire(const std::vector<fleet::team>& teams)
{
    std::vector<wire::team> wireStructs;
    wireStructs.reserve(teams.size());
    for (const auto& team : teams) {
        auto& added = wireStructs.emplace_back();
        added.name = team.name;
        added.keys = team.keys;
        if (team.priority)
            added.__set_priority(static_cast<std::int32_t>(*team.priority));
        added.ratePerSecond = team.ratePerSecond;
        added.burst = team.burst;
    }
    return wireStructs;
}

std::vector<fleet::team> fromWire(const std::vector<wire::team>& wireStructs)
{
    const auto isRate = [](double number) { return std::isfinite(number) && number >= 0; };
    std::vector<fleet::team> teams;
    teams.reserve(wireStructs.size());
    for (const auto& team : wireStructs) {
        if (team.name.empty() || !isRate(team.ratePerSecond) || !isRate(team.burst))
            throw range_error("team without a name, or its allowance is out of range");
        if (std::find(team.keys.begin(), team.keys.end(), "") != team.keys.end())
            throw range_error("team has an empty key");
        auto& added = teams.emplace_back();
        added = { team.name, team.keys, std::nullopt, team.ratePerSecond, team.burst };
        if (team.__isset.priority)
            added.priority = checked<std::uint32_t>(team.priority);
    }
    return teams;
}

wire::service_description toWire(const fleet::service& service)
{
    wire::service_description wireStruct;
    wireStruct.name = service.name;
    wireStruct.healthPath = service.healthPath;
    wireStruct.maxConnections = toSigned(service.maxConnections);
    wireStruct.coldStart = toMicroseconds(service.coldStart);
    wireStruct.coldRequestsPerSecond = service.coldRequestsPerSecond;
    return wireStruct;
}

wire::configuration toWire(const fleet::configuration& config)
{
    wire::configuration wireStruct;
    wireStruct.version = config.version;
    wireStruct.headerBytes = static_cast<std::int64_t>(config.limits.headerBytes);
    wireStruct.bodyBytes = static_cast<std::int64_t>(config.limits.bodyBytes);
    wireStruct.headerTimeout = toMicroseconds(config.limits.headerTimeout);
    wireStruct.idleTimeout = toMicroseconds(config.limits.idleTimeout);
    for (const auto& route : config.routes)
        wireStruct.routes.push_back(toWire(route));
    for (const auto& service : config.services)
        wireStruct.services.push_back(toWire(service));
    // Also without teams: the field tells that the sender would have relayed them.
    wireStruct.__set_teams(toWire(config.teams));
    return wireStruct;
}

std::vector<fleet::service> fromWire(const std::vector<wire::service_description>& wireStructs)
{
    std::vector<fleet::service> services;
    services.reserve(wireStructs.size());
    for (const auto& service : wireStructs)
        services.push_back({ service.name, service.healthPath, toUnsigned(service.maxConnections),
            toDuration(service.coldStart), service.coldRequestsPerSecond });
    return services;
}

fleet::configuration fromWire(const wire::configuration& wireStruct)
{
    fleet::configuration config;
    config.version = checked<std::uint32_t>(wireStruct.version);
    config.limits = { checked<std::uint64_t>(wireStruct.headerBytes), checked<std::uint64_t>(wireStruct.bodyBytes),
        toDuration(wireStruct.headerTimeout), toDuration(wireStruct.idleTimeout) };
    for (const auto& route : wireStruct.routes)
        config.routes.push_back(fromWire(route));
    config.services = fromWire(wireStruct.services);
    config.teams = fromWire(wireStruct.teams);
    return config;
}

wire::configuration_changes toWire(const fleet::configuration_changes& changes)
{
    wire::configuration_changes wireStruct;
    wireStruct.number = static_cast<std::int64_t>(changes.revisionNumber);
    wireStruct.version = changes.version;
    wireStruct.headerBytes = static_cast<std::int64_t>(changes.limits.headerBytes);
    wireStruct.bodyBytes = static_cast<std::int64_t>(changes.limits.bodyBytes);
    wireStruct.headerTimeout = toMicroseconds(changes.limits.headerTimeout);
    wireStruct.idleTimeout = toMicroseconds(changes.limits.idleTimeout);
    for (const auto& route : changes.routes)
        wireStruct.routes.push_back(toWire(route));
    for (const auto& key : changes.removedRoutes) {
        auto& added = wireStruct.removedRoutes.emplace_back();
        added.host = key.host;
        added.pathPrefix = key.pathPrefix;
    }
    wireStruct.digest = std::bit_cast<std::int64_t>(changes.digest);
    wireStruct.teams = toWire(changes.teams);
    wireStruct.__isset.teams = !changes.teams.empty();
    wireStruct.removedTeams = changes.removedTeams;
    wireStruct.__isset.removedTeams = !changes.removedTeams.empty();
    if (changes.services) {
        wireStruct.__isset.services = true;
        for (const auto& service : *changes.services)
            wireStruct.services.push_back(toWire(service));
    }
    return wireStruct;
}

fleet::configuration_changes fromWire(const wire::configuration_changes& wireStruct)
{
    fleet::configuration_changes changes;
    changes.revisionNumber = checked<state::revision>(wireStruct.number);
    changes.version = checked<std::uint32_t>(wireStruct.version);
    changes.limits = { checked<std::uint64_t>(wireStruct.headerBytes), checked<std::uint64_t>(wireStruct.bodyBytes),
        toDuration(wireStruct.headerTimeout), toDuration(wireStruct.idleTimeout) };
    for (const auto& route : wireStruct.routes)
        changes.routes.push_back(fromWire(route));
    for (const auto& key : wireStruct.removedRoutes)
        changes.removedRoutes.push_back({ key.host, key.pathPrefix });
    changes.digest = std::bit_cast<std::uint64_t>(wireStruct.digest);
    changes.teams = fromWire(wireStruct.teams);
    changes.removedTeams = wireStruct.removedTeams;
    if (wireStruct.__isset.services)
        changes.services = fromWire(wireStruct.services);
    return changes;
}

wire::revised_server toWire(const state::host_id& id, const fleet::versioned<fleet::server_entry>& item)
{
    wire::revised_server wireStruct;
    wireStruct.id = id;
    wireStruct.number = static_cast<std::int64_t>(item.revisionNumber);
    if (!item.value)
        return wireStruct;
    wire::server_entry entry;
    entry.serviceName = item.value->service;
    entry.address = item.value->address;
    entry.dataCentre = item.value->dataCentre;
    entry.slots = toSigned(item.value->slots);
    entry.draining = item.value->draining;
    entry.coldLeft = toMicroseconds(item.value->coldRemaining);
    entry.startedAtUnixMs = item.value->startedAtUnixMs;
    wireStruct.__set_entry(entry);
    return wireStruct;
}

fleet::versioned<fleet::server_entry> fromWire(const wire::revised_server& wireStruct)
{
    fleet::versioned<fleet::server_entry> item { checked<state::revision>(wireStruct.number), std::nullopt };
    if (!wireStruct.__isset.entry)
        return item;
    const auto& entry = wireStruct.entry;
    item.value = { wireStruct.id, entry.serviceName, entry.address, entry.dataCentre, toUnsigned(entry.slots),
        entry.draining, toDuration(entry.coldLeft), entry.startedAtUnixMs };
    return item;
}

wire::fleet_delta toWire(const fleet::fleet_delta& delta)
{
    wire::fleet_delta wireStruct;
    wireStruct.snapshot = delta.snapshot;
    wireStruct.after = static_cast<std::int64_t>(delta.after);
    wireStruct.asOf = static_cast<std::int64_t>(delta.changes.asOf);
    if (delta.changes.config.value) {
        wireStruct.__set_configNumber(static_cast<std::int64_t>(delta.changes.config.revisionNumber));
        wireStruct.__set_config(toWire(*delta.changes.config.value));
    }
    if (delta.configChanges)
        wireStruct.__set_configChanges(toWire(*delta.configChanges));
    for (const auto& [id, item] : delta.changes.servers)
        wireStruct.servers.push_back(toWire(id, item));
    for (const auto& [dataCentre, item] : delta.changes.evacuations) {
        auto& added = wireStruct.evacuations.emplace_back();
        added.dataCentre = dataCentre;
        added.number = static_cast<std::int64_t>(item.revisionNumber);
        added.evacuated = item.value.has_value();
    }
    return wireStruct;
}

fleet::fleet_delta fromWire(const wire::fleet_delta& wireStruct)
{
    fleet::fleet_delta delta;
    delta.snapshot = wireStruct.snapshot;
    delta.after = checked<state::revision>(wireStruct.after);
    delta.changes.asOf = checked<state::revision>(wireStruct.asOf);
    if (wireStruct.__isset.config && wireStruct.__isset.configNumber)
        delta.changes.config = { checked<state::revision>(wireStruct.configNumber), fromWire(wireStruct.config), {},
            wireStruct.config.__isset.teams };
    if (wireStruct.__isset.configChanges)
        delta.configChanges = fromWire(wireStruct.configChanges);
    for (const auto& server : wireStruct.servers)
        delta.changes.servers[server.id] = fromWire(server);
    for (const auto& evacuation : wireStruct.evacuations) {
        auto& item = delta.changes.evacuations[evacuation.dataCentre];
        item.revisionNumber = checked<state::revision>(evacuation.number);
        item.value = evacuation.evacuated ? std::optional(fleet::evacuation {}) : std::nullopt;
    }
    return delta;
}

/// Returns the index of a name in a list; appends the name if the list does not contain it.
std::int8_t findOrAppend(std::vector<std::string>& names, const std::string& name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    const auto index = found - names.begin();
    if (found == names.end())
        names.push_back(name);
    if (index > std::numeric_limits<std::int8_t>::max())
        throw range_error("too many data centres");
    return static_cast<std::int8_t>(index);
}

/// Formats an IPv4 address.
/// \param address in host byte order
std::string formatIp(std::uint32_t address)
{
    std::array<char, INET_ADDRSTRLEN> ip {};
    const in_addr network { htonl(address) };
    inet_ntop(AF_INET, &network, ip.data(), ip.size());
    return ip.data();
}

fleet::known_peer makePeer(
    std::uint32_t ip, std::int8_t dataCentre, std::int32_t age, const std::vector<std::string>& dataCentres)
{
    if (age < 0 || dataCentre < 0 || static_cast<std::size_t>(dataCentre) >= dataCentres.size())
        throw range_error("age or data centre index of a peer out of range");
    return { formatIp(ip), dataCentres[static_cast<std::size_t>(dataCentre)], age * ageUnit };
}

/// Appends a number in network byte order.
template <typename Number> void append(std::string& to, Number number)
{
    for (std::size_t byte = sizeof number; byte-- > 0;)
        to += static_cast<char>(number >> (8 * byte)); // NOLINT(readability-magic-numbers): bits in a byte
}

/// Reads a number in network byte order.
template <typename Number> Number readNumber(std::string_view bytes, std::size_t at)
{
    Number number = 0;
    for (const char byte : bytes.substr(at, sizeof number))
        number
            = static_cast<Number>(number << 8 | static_cast<unsigned char>(byte)); // NOLINT(readability-magic-numbers)
    return number;
}

std::string packPeers(const std::vector<fleet::known_peer>& peers, std::vector<std::string>& dataCentres)
{
    std::string packed;
    packed.reserve(peers.size() * packedPeerBytes);
    for (const auto& peer : peers) {
        in_addr address {};
        if (inet_pton(AF_INET, peer.ip.c_str(), &address) != 1)
            continue; // not an IPv4 address
        append(packed, static_cast<std::uint32_t>(ntohl(address.s_addr)));
        append(packed, static_cast<std::uint8_t>(findOrAppend(dataCentres, peer.dataCentre)));
        append(packed, static_cast<std::uint16_t>(std::min<state::duration>(peer.age, maxAge) / ageUnit));
    }
    return packed;
}

void unpackPeers(
    std::string_view packed, const std::vector<std::string>& dataCentres, std::vector<fleet::known_peer>& peers)
{
    if (packed.size() % packedPeerBytes != 0)
        throw range_error("packed peers end early");
    for (std::size_t at = 0; at < packed.size(); at += packedPeerBytes) {
        const auto dataCentre = readNumber<std::uint8_t>(packed, at + sizeof(std::uint32_t));
        peers.push_back(makePeer(readNumber<std::uint32_t>(packed, at), static_cast<std::int8_t>(dataCentre),
            readNumber<std::uint16_t>(packed, at + sizeof(std::uint32_t) + 1), dataCentres));
    }
}

wire::limit_notice toWire(const fleet::limit_notice& notice)
{
    wire::limit_notice wireStruct;
    wireStruct.server = notice.server;
    if (notice.perSecond)
        wireStruct.__set_perSecond(*notice.perSecond);
    wireStruct.saidAt = toMicroseconds(notice.saidAt.time_since_epoch());
    return wireStruct;
}

fleet::limit_notice fromWire(const wire::limit_notice& wireStruct)
{
    fleet::limit_notice notice { wireStruct.server, std::nullopt, toFleetTime(wireStruct.saidAt) };
    if (!wireStruct.__isset.perSecond)
        return notice;
    if (!std::isfinite(wireStruct.perSecond) || wireStruct.perSecond < 0)
        throw range_error("limit out of range");
    notice.perSecond = wireStruct.perSecond;
    return notice;
}

std::string packDigest(const fleet::request_digest& digest)
{
    std::string packed;
    append(packed, digest.high);
    append(packed, digest.low);
    return packed;
}

fleet::request_digest unpackDigest(std::string_view packed)
{
    fleet::request_digest digest;
    if (packed.size() != sizeof digest.high + sizeof digest.low)
        throw range_error("digest of another length");
    digest.high = readNumber<std::uint64_t>(packed, 0);
    digest.low = readNumber<std::uint64_t>(packed, sizeof digest.high);
    return digest;
}

wire::crash_report toWire(const fleet::crash_report& report)
{
    wire::crash_report wireStruct;
    wireStruct.digest = packDigest(report.request);
    if (report.anyQuery != fleet::request_digest {})
        wireStruct.__set_digestAnyQuery(packDigest(report.anyQuery));
    for (const auto& crash : report.crashes) {
        auto& added = wireStruct.crashes.emplace_back();
        added.server = crash.server;
        added.startedAt = toMicroseconds(crash.startedAt.time_since_epoch());
        added.endedAt = toMicroseconds(crash.endedAt.time_since_epoch());
        if (crash.isShared)
            added.__set_shared(true);
    }
    if (report.answeredAt)
        wireStruct.__set_answeredAt(toMicroseconds(report.answeredAt->time_since_epoch()));
    wireStruct.lastSeenAt = toMicroseconds(report.lastSeenAt.time_since_epoch());
    return wireStruct;
}

fleet::crash_report fromWire(const wire::crash_report& wireStruct)
{
    fleet::crash_report report;
    report.request = unpackDigest(wireStruct.digest);
    if (wireStruct.__isset.digestAnyQuery)
        report.anyQuery = unpackDigest(wireStruct.digestAnyQuery);
    for (const auto& crash : wireStruct.crashes)
        report.crashes.push_back({ crash.server, toFleetTime(crash.startedAt), toFleetTime(crash.endedAt),
            crash.__isset.shared && crash.shared });
    if (wireStruct.__isset.answeredAt)
        report.answeredAt = toFleetTime(wireStruct.answeredAt);
    report.lastSeenAt = toFleetTime(wireStruct.lastSeenAt);
    return report;
}

wire::class_demand toWire(const fleet::class_demand& demand)
{
    wire::class_demand wireStruct;
    wireStruct.serviceName = demand.service;
    wireStruct.priority = toSigned(demand.priority);
    wireStruct.objective = toMicroseconds(demand.objective);
    wireStruct.perSecond = demand.perSecond;
    wireStruct.work = toMicroseconds(demand.work);
    return wireStruct;
}

fleet::class_demand fromWire(const wire::class_demand& wireStruct)
{
    if (!std::isfinite(wireStruct.perSecond) || wireStruct.perSecond < 0 || wireStruct.work < 0)
        throw range_error("demand out of range");
    return { wireStruct.serviceName, toUnsigned(wireStruct.priority), toDuration(wireStruct.objective),
        wireStruct.perSecond, toDuration(wireStruct.work) };
}

constexpr double maxAmount = 1e12; ///< beyond any number of requests in a window

/// Rejects numbers that no host computes, so that one datagram cannot upset what is learned from all.
double checkedAmount(double amount, double minimum)
{
    if (!std::isfinite(amount) || amount < minimum || amount > maxAmount)
        throw range_error("amount out of range");
    return amount;
}

wire::allowance_report toWire(const fleet::allowance_report& report)
{
    wire::allowance_report wireStruct;
    wireStruct.team = std::bit_cast<std::int64_t>(report.team);
    wireStruct.admitted = static_cast<std::int64_t>(report.admitted);
    wireStruct.refused = static_cast<std::int64_t>(report.refused);
    wireStruct.newlyAdmitted = toSigned(report.newlyAdmitted);
    wireStruct.newlyRefused = toSigned(report.newlyRefused);
    if (report.keeper) {
        wireStruct.__set_level(report.keeper->level);
        wireStruct.__set_demand(report.keeper->demand);
        wireStruct.__set_knownFor(toMicroseconds(report.keeper->knownFor));
    }
    return wireStruct;
}

fleet::allowance_report fromWire(const wire::allowance_report& wireStruct)
{
    fleet::allowance_report report;
    report.team = std::bit_cast<std::uint64_t>(wireStruct.team);
    report.admitted = checked<std::uint64_t>(wireStruct.admitted);
    report.refused = checked<std::uint64_t>(wireStruct.refused);
    report.newlyAdmitted = toUnsigned(wireStruct.newlyAdmitted);
    report.newlyRefused = toUnsigned(wireStruct.newlyRefused);
    if (wireStruct.__isset.level && wireStruct.__isset.demand && wireStruct.__isset.knownFor)
        report.keeper = { checkedAmount(wireStruct.level, -maxAmount), checkedAmount(wireStruct.demand, 0),
            toDuration(wireStruct.knownFor) };
    return report;
}

wire::allowance_notice toWire(const fleet::allowance_notice& notice)
{
    wire::allowance_notice wireStruct;
    wireStruct.team = std::bit_cast<std::int64_t>(notice.team);
    wireStruct.ratio = notice.ratio;
    wireStruct.retryAfter = toMicroseconds(notice.retryAfter);
    wireStruct.knownFor = toMicroseconds(notice.knownFor);
    return wireStruct;
}

fleet::allowance_notice fromWire(const wire::allowance_notice& wireStruct)
{
    if (!std::isfinite(wireStruct.ratio) || wireStruct.ratio < 0 || wireStruct.ratio > 1)
        throw range_error("ratio out of range");
    return { std::bit_cast<std::uint64_t>(wireStruct.team), wireStruct.ratio, toDuration(wireStruct.retryAfter),
        toDuration(wireStruct.knownFor) };
}

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

template <typename Result, typename Struct>
absl::StatusOr<Result> decodeChecked(std::string_view bytes, std::size_t limit)
{
    const auto wireStruct = decodeThrift<Struct>(bytes, version, limit, maxEntries);
    if (!wireStruct.ok())
        return wireStruct.status();
    try {
        return fromWire(*wireStruct);
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
