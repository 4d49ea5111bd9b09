#include "protocol/gateway_codec/configuration.hpp"

#include "protocol/gateway_codec/numbers.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::protocol::gateway_codec {

namespace wire = gateway_wire;
namespace fleet = state::gateway;

namespace {

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

std::vector<fleet::service> fromWire(const std::vector<wire::service_description>& wireStructs)
{
    std::vector<fleet::service> services;
    services.reserve(wireStructs.size());
    for (const auto& service : wireStructs)
        services.push_back({ service.name, service.healthPath, toUnsigned(service.maxConnections),
            toDuration(service.coldStart), service.coldRequestsPerSecond });
    return services;
}

} // namespace

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

} // namespace acaciaslip::protocol::gateway_codec
