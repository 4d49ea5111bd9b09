#include "app/settings_commands.hpp"

#include "app/exit_codes.hpp"
#include "app/settings_files.hpp"
#include "protocol/fleet_settings_reader.hpp"
#include "protocol/node_settings_reader.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

#include <fmt/format.h>

namespace acaciaslip::app {

namespace {

/// Reads the values; errors refer to each value by its file.
absl::StatusOr<state::fleet_settings> readValues(const settings_files& files)
{
    protocol::parsed_values values;
    for (const auto& [key, file] : files.values) {
        auto value = std::make_shared<protocol::parsed_value>();
        protocol::parseValue(*value, key, file.path, file.text);
        values.emplace(key, std::move(value));
    }
    return protocol::combineValues(values);
}

/// Prints warnings about settings that are valid but may be mistakes.
void warnAboutUnmatchedNames(const settings_files& files, const state::fleet_settings& settings)
{
    std::set<state::service_name> services;
    std::set<state::service_name> served;
    std::set<std::string> dataCentres;
    for (const auto& service : settings.services)
        services.insert(service.name);
    for (const auto& host : settings.hosts) {
        dataCentres.insert(host.dataCentre);
        if (host.kind == state::host_kind::server && served.insert(host.service).second
            && !services.contains(host.service) && !services.empty())
            fmt::print(stderr,
                "warning: host '{}' serves {}/{}, which no team's settings define; it receives no requests\n", host.id,
                host.service.team, host.service.name);
    }
    if (!files.values.contains(std::string(protocol::hostsKey)))
        return;
    for (const auto& name : services) {
        if (!served.contains(name))
            fmt::print(stderr, "warning: no listed server serves {}/{}; requests for it will be refused\n", name.team,
                name.name);
    }
    for (const auto& out : settings.evacuatedDataCentres) {
        if (!dataCentres.contains(out))
            fmt::print(stderr, "warning: the data centre '{}' is out, but no listed host is in it\n", out);
    }
}

bool printError(const absl::Status& status)
{
    if (!status.ok())
        fmt::print(stderr, "{}\n", std::string(status.message()));
    return status.ok();
}

std::string quoteText(std::string text)
{
    for (std::size_t at = text.find('\''); at != std::string::npos; at = text.find('\'', at + 2))
        text.insert(at, 1, '\'');
    return fmt::format("'{}'", text);
}

void printService(const state::service_settings& service)
{
    const auto milliseconds
        = [](state::duration span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span).count(); };
    fmt::print("  - name: {}\n    path_prefix: {}\n", quoteText(service.name.name), quoteText(service.pathPrefix));
    if (!service.host.empty())
        fmt::print("    host: {}\n", quoteText(service.host));
    fmt::print("    slots: {}\n    connections: {}\n    idempotent: {}\n    timeout_ms: {}\n    hedge: {}\n",
        service.slots, service.connections, state::findName(state::idempotencyNames, service.idempotent),
        milliseconds(service.timeout), service.hedge ? "on" : "off");
    fmt::print(
        "    probes_per_second: {}\n    max_waiting: {}\n    wait_ms: {}\n    retry_share: {}\n    hedge_share: {}\n",
        service.probesPerSecond, service.maxWaiting, milliseconds(service.wait), service.retryShare,
        service.hedgeShare);
}

} // namespace

int checkFiles(const std::vector<std::string>& paths)
{
    const auto files = loadSettingsFiles(paths);
    if (!printError(files.status()))
        return exitFailed;
    for (const auto& note : files->notes)
        fmt::print(stderr, "note: {}\n", note);
    bool valid = true;
    for (const auto& file : files->nodes)
        valid = printError(protocol::readNodeSettings(file.text, file.path).status()) && valid;
    const auto settings = readValues(*files);
    valid = printError(settings.status()) && valid;
    if (!valid)
        return exitFailed;
    warnAboutUnmatchedNames(*files, *settings);
    fmt::print("good: {} node.yaml, {} values, {} services, {} hosts\n", files->nodes.size(), files->values.size(),
        settings->services.size(), settings->hosts.size());
    return exitSuccess;
}

int renderFiles(const std::vector<std::string>& paths)
{
    const auto files = loadSettingsFiles(paths);
    if (!printError(files.status()))
        return exitFailed;
    const auto settings = readValues(*files);
    if (!printError(settings.status()))
        return exitFailed;
    std::string team;
    for (const auto& service : settings->services) {
        if (service.name.team != team)
            fmt::print("{}team: {}\nservices:\n", team.empty() ? "" : "---\n", quoteText(service.name.team));
        team = service.name.team;
        printService(service);
    }
    if (!settings->services.empty())
        return exitSuccess;
    fmt::print(
        stderr, "acaciaslip: these files define no services; specify a team's file, or a folder that contains one\n");
    return exitFailed;
}

} // namespace acaciaslip::app
