#include "protocol/fleet_settings_reader.hpp"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace acaciaslip::protocol {

namespace {

constexpr std::string_view teamPrefix = "acaciaslip/teams/";

YAML::Node substitute(const YAML::Node& value, const YAML::Node& arguments)
{
    const auto text = value.as<std::string>();
    if (!text.starts_with('$'))
        return value;
    return arguments[text.substr(1)];
}

state::service_settings readService(const std::string& team, const YAML::Node& use, const YAML::Node& templates)
{
    const auto body = templates[use["use"].as<std::string>()]["service"];
    const auto arguments = use["with"];
    state::service_settings service;
    service.name.team = team;
    for (const auto& entry : body) {
        const auto key = entry.first.as<std::string>();
        const auto value = substitute(entry.second, arguments);
        if (key == "name")
            service.name.name = value.as<std::string>();
        else if (key == "path_prefix")
            service.pathPrefix = value.as<std::string>();
        else if (key == "slots")
            service.slots = value.as<std::uint32_t>();
        else if (key == "connections")
            service.connections = value.as<std::uint32_t>();
        else if (key == "idempotent")
            service.idempotent = state::findValue<state::idempotency>(state::idempotencyNames, value.as<std::string>())
                                     .value_or(state::idempotency::never);
        else if (key == "timeout_ms")
            service.timeout = std::chrono::milliseconds { value.as<int>() };
        else if (key == "hedge")
            service.hedge = value.as<std::string>() == "on";
    }
    return service;
}

void readHosts(const YAML::Node& root, state::fleet_settings& settings)
{
    for (const auto& entry : root) {
        state::host_record host;
        host.id = entry["id"].as<std::string>();
        host.address = entry["address"].as<std::string>("");
        host.dataCentre = entry["data_centre"].as<std::string>();
        host.kind = state::findValue<state::host_kind>(state::hostKindNames, entry["kind"].as<std::string>())
                        .value_or(state::host_kind::server);
        host.listing
            = state::findValue<state::host_listing>(state::hostListingNames, entry["state"].as<std::string>("live"))
                  .value_or(state::host_listing::leaving);
        host.service = { entry["team"].as<std::string>(""), entry["service"].as<std::string>("") };
        host.peerAddress = entry["peer_address"].as<std::string>("");
        settings.hosts.push_back(std::move(host));
    }
}

} // namespace

absl::StatusOr<state::fleet_settings> readFleetSettings(const std::map<state::value_key, std::string>& bodies)
{
    state::fleet_settings settings;
    std::string reading;
    try {
        std::map<state::value_key, YAML::Node> roots;
        for (const auto& [key, body] : bodies) {
            reading = key;
            roots[key] = YAML::Load(body);
        }
        for (const auto& [key, root] : roots) {
            reading = key;
            if (key == "acaciaslip/index")
                settings.indexed = root["values"].as<std::map<state::value_key, state::revision>>();
            if (key == "acaciaslip/hosts")
                readHosts(root, settings);
            if (key == "acaciaslip/data_centres" && root["out"])
                settings.dataCentresOut = root["out"].as<std::vector<std::string>>();
            if (!key.starts_with(teamPrefix) || !roots.contains("acaciaslip/templates"))
                continue;
            for (const auto& use : root["services"])
                settings.services.push_back(
                    readService(root["team"].as<std::string>(), use, roots["acaciaslip/templates"]));
        }
    } catch (const YAML::Exception& error) {
        return absl::InvalidArgumentError(
            fmt::format("{}:{}:{}: {}", reading, error.mark.line + 1, error.mark.column + 1, error.msg));
    }
    return settings;
}

} // namespace acaciaslip::protocol
