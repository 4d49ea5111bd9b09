#include "protocol/service_schema.hpp"

#include <algorithm>
#include <array>

namespace acaciaslip::protocol {

namespace {

using state::service_settings;

constexpr std::size_t maxPathLength = 1024;

constexpr number_bounds slotBounds { 1, 1024, "concurrent requests" };
constexpr number_bounds connectionBounds { 1, 1'000'000, "connections" };
constexpr number_bounds timeoutBounds { 1, 3'600'000, "ms" };
constexpr number_bounds probeBounds { 0, 1000, "probes per second" };
constexpr number_bounds waitingBounds { 0, 1'000'000, "requests" };
constexpr number_bounds waitBounds { 0, 600'000, "ms" };
constexpr number_bounds shareBounds { 0, 1, "(a share of requests)" };

void readPathPrefix(service_settings& service, const located_value& value, issue_list& issues)
{
    const auto path = readText(value, issues);
    if (!path)
        return;
    const bool printable
        = std::all_of(path->begin(), path->end(), [](char character) { return character > ' ' && character != 0x7f; });
    if (!path->starts_with('/'))
        addIssue(issues, value, "a path prefix must start with '/'; add one");
    else if (!printable || path->find_first_of("?#") != std::string::npos || path->size() > maxPathLength)
        addIssue(issues, value,
            fmt::format("a path prefix must not contain blanks, '?' or '#' or exceed {} characters; give only the path",
                maxPathLength));
    else
        service.pathPrefix = *path;
}

void readHost(service_settings& service, const located_value& value, issue_list& issues)
{
    const auto host = readIdentifier(value, issues);
    if (!host)
        return;
    if (std::any_of(host->begin(), host->end(), [](char character) { return character >= 'A' && character <= 'Z'; }))
        addIssue(issues, value, "hosts are compared in lower case; write the host in lower case");
    else
        service.host = *host;
}

void readMilliseconds(
    state::duration& target, const located_value& value, const number_bounds& bounds, issue_list& issues)
{
    if (const auto number = readInteger(value, bounds, issues))
        target = std::chrono::milliseconds { *number };
}

/// A key of a service and the function that reads its value.
struct service_key {
    std::string_view name;
    void (*read)(service_settings&, const located_value&, issue_list&);
};

constexpr std::array<service_key, 13> serviceKeys { {
    { "name",
        [](auto& service, auto& value, auto& issues) {
            assignIfPresent(service.name.name, readIdentifier(value, issues));
        } },
    { "path_prefix", readPathPrefix },
    { "host", readHost },
    { "slots",
        [](auto& service, auto& value, auto& issues) {
            assignIfPresent(service.slots, readInteger(value, slotBounds, issues));
        } },
    { "connections",
        [](auto& service, auto& value, auto& issues) {
            assignIfPresent(service.connections, readInteger(value, connectionBounds, issues));
        } },
    { "idempotent",
        [](auto& service, auto& value, auto& issues) {
            assignIfPresent(service.idempotent, readChoice<state::idempotency>(value, state::idempotencyNames, issues));
        } },
    { "timeout_ms",
        [](auto& service, auto& value, auto& issues) {
            readMilliseconds(service.timeout, value, timeoutBounds, issues);
        } },
    { "hedge",
        [](auto& service, auto& value, auto& issues) { assignIfPresent(service.hedge, readSwitch(value, issues)); } },
    { "probes_per_second",
        [](auto& service, auto& value, auto& issues) {
            assignIfPresent(service.probesPerSecond, parseUnsigned(value, probeBounds, issues));
        } },
    { "max_waiting",
        [](auto& service, auto& value, auto& issues) {
            assignIfPresent(service.maxWaiting, readInteger(value, waitingBounds, issues));
        } },
    { "wait_ms",
        [](auto& service, auto& value, auto& issues) { readMilliseconds(service.wait, value, waitBounds, issues); } },
    { "retry_share",
        [](auto& service, auto& value, auto& issues) {
            assignIfPresent(service.retryShare, parseUnsigned(value, shareBounds, issues));
        } },
    { "hedge_share",
        [](auto& service, auto& value, auto& issues) {
            assignIfPresent(service.hedgeShare, parseUnsigned(value, shareBounds, issues));
        } },
} };

constexpr auto keyNames = [] {
    std::array<std::string_view, serviceKeys.size()> names;
    for (std::size_t index = 0; index < names.size(); ++index)
        names[index] = serviceKeys[index].name;
    return names;
}();

} // namespace

std::span<const std::string_view> serviceKeyNames()
{
    return keyNames;
}

state::service_settings readServiceSettings(
    const std::string& team, const service_description& description, issue_list& issues)
{
    state::service_settings service;
    service.name.team = team;
    for (const std::string_view required : { "name", "path_prefix" }) {
        if (!description.values.contains(required))
            addIssue(
                issues, description.position, fmt::format("the service has no '{}'; add it to the template", required));
    }
    for (const auto& [name, read] : serviceKeys) {
        const auto found = description.values.find(name);
        if (found != description.values.end() && found->second.value != nullptr)
            read(service, found->second, issues);
    }
    return service;
}

} // namespace acaciaslip::protocol
