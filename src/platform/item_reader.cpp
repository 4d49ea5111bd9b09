#include "platform/item_reader.hpp"

#include "platform/json_field.hpp"
#include "platform/json_text.hpp"
#include "platform/team_reader.hpp"
#include "transport/loop/socket_address.hpp"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::platform {

namespace {

using json_field::at;
using json_field::duration;
using json_field::durationOrZero;
using json_field::field_error;
using json_field::flag;
using json_field::number;
using json_field::text;
using nlohmann::json;
using state::gateway::configuration;
using state::gateway::server_entry;

constexpr std::string_view configurationKey = "op/config";
constexpr std::string_view evacuationPrefix = "op/evacuate/";
constexpr int hexadecimal = 16;
constexpr std::size_t maxNameBytes = 1024; ///< of a service or zone name; limits the size of peer messages

bool draining(const json& status)
{
    const auto state = text(status, "state");
    if (state != "ready" && state != "draining")
        throw field_error { "state" };
    return state == "draining";
}

server_entry readEntry(const std::string& id, const json& from)
{
    server_entry entry;
    entry.id = id;
    entry.address = text(from, "address");
    if (!transport::loop::parseAddress(entry.address).ok())
        throw field_error { "address" };
    const auto& info = at(from, "info");
    entry.service = text(info, "service", maxNameBytes);
    entry.dataCentre = text(info, "zone", maxNameBytes);
    entry.slots = number<std::uint32_t>(info, "max-concurrency");
    const auto& status = at(from, "status");
    entry.draining = draining(status);
    entry.coldRemaining = durationOrZero(status, "cold-left");
    if (from.contains("born")) {
        if (!from["born"].is_number_integer())
            throw field_error { "born" };
        entry.startedAtUnixMs = from["born"].get<std::int64_t>();
    }
    if (entry.slots == 0)
        throw field_error { "max-concurrency" };
    return entry;
}

state::gateway::request_kind readKind(const json& rule)
{
    const auto name = text(rule, "kind");
    const auto kind = state::findValue<state::gateway::request_kind>(state::gateway::requestKindNames, name);
    // A request of unknown kind must not be executed twice.
    return kind.value_or(state::gateway::request_kind::non_idempotent);
}

std::vector<state::gateway::split_part> readSplit(const json& action)
{
    if (!action.contains("split"))
        return { { text(action, "service"), 1 } };
    std::vector<state::gateway::split_part> parts;
    for (const auto& part : at(action, "split"))
        parts.push_back({ text(part, "service"), number<std::uint32_t>(part, "weight") });
    if (parts.empty())
        throw field_error { "split" };
    return parts;
}

state::gateway::route readRoute(const std::string& host, const json& rule)
{
    state::gateway::route route;
    const auto& action = at(rule, "action");
    route.name = text(rule, "name");
    route.host = host;
    route.pathPrefix = text(at(rule, "match"), "path-prefix");
    route.kind = readKind(rule);
    route.objective = duration(rule, "latency-slo");
    route.timeout = duration(action, "timeout");
    route.attempts = std::max<std::uint32_t>(1, number<std::uint32_t>(action, "attempts"));
    route.priority = rule.contains("priority") ? number<std::uint32_t>(rule, "priority") : 0;
    route.split = readSplit(action);
    route.anonymous = rule.contains("anonymous") && flag(rule, "anonymous");
    return route;
}

state::gateway::service readService(const json& from)
{
    state::gateway::service service;
    service.name = text(from, "name");
    service.healthPath = text(from, "health-path");
    service.maxConnections = number<std::uint32_t>(from, "max-conns");
    service.coldStart = durationOrZero(from, "cold-start");
    service.coldRequestsPerSecond = from.contains("cold-per-s") ? number<double>(from, "cold-per-s") : 0;
    return service;
}

state::gateway::caller_limits readLimits(const json& from)
{
    state::gateway::caller_limits limits;
    limits.headerBytes = number<std::uint64_t>(from, "max-header-bytes");
    limits.bodyBytes = number<std::uint64_t>(from, "max-body-bytes");
    limits.headerTimeout = duration(from, "header-timeout");
    limits.idleTimeout = duration(from, "idle-timeout");
    return limits;
}

std::uint32_t readVersion(const json& from)
{
    const auto version = text(from, "version");
    std::size_t used = 0;
    const auto number = std::stoul(version, &used, hexadecimal);
    if (used != version.size())
        throw field_error { "version" };
    return static_cast<std::uint32_t>(number);
}

template <typename Read> auto readChecked(std::string_view what, const Read& read) -> absl::StatusOr<decltype(read())>
{
    try {
        return read();
    } catch (const field_error& error) {
        return absl::InvalidArgumentError(fmt::format("{}: field '{}' is missing or malformed", what, error.field));
    } catch (const team_error& error) {
        return absl::InvalidArgumentError(fmt::format("{}: {}", what, error.problem));
    } catch (const json::parse_error& error) {
        // Messages of the library quote the text, which may contain a team's key.
        return absl::InvalidArgumentError(fmt::format("{}: not valid JSON at byte {}", what, error.byte));
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(fmt::format("{}: not usable JSON (error {})", what, error.id));
    } catch (const std::exception& error) { // thrown by std::stoul
        return absl::InvalidArgumentError(fmt::format("{}: {}", what, error.what()));
    }
}

/// Reads a configuration part by part, so that errors in all parts are reported.
class configuration_reader {
public:
    explicit configuration_reader(const json& from)
        : m_from(from)
    {
    }

    absl::StatusOr<configuration> read()
    {
        readObject("version", [&] { m_config.version = readVersion(m_from); });
        readObject("limits", [&] { m_config.limits = readLimits(at(m_from, "limits")); });
        readEach("", m_from, "listeners", [&](const std::string& position, const json& listener) {
            const auto host = text(listener, "host");
            readEach(position + ".", listener, "rules",
                [&](const std::string&, const json& rule) { m_config.routes.push_back(readRoute(host, rule)); });
        });
        readEach("", m_from, "clusters",
            [&](const std::string&, const json& service) { m_config.services.push_back(readService(service)); });
        if (m_from.is_object() && m_from.contains("tenants"))
            readTeams(m_from["tenants"]);
        if (!m_errors.empty())
            return absl::InvalidArgumentError("configuration: " + m_errors);
        return std::move(m_config);
    }

private:
    template <typename Read> void readObject(const std::string& position, const Read& read)
    {
        const auto status = readChecked(position, [&] { return read(), true; });
        if (!status.ok())
            m_errors += fmt::format("{}{}", m_errors.empty() ? "" : "; ", std::string(status.status().message()));
    }

    /// Reads every element of a list; `position` is the position of the object that contains the list.
    template <typename Read>
    void readEach(const std::string& position, const json& owner, const char* field, const Read& read)
    {
        readObject(position + field, [&] { (void)at(owner, field); });
        if (!owner.is_object() || !owner.contains(field))
            return;
        std::size_t index = 0;
        for (const auto& element : owner[field]) {
            const auto at = fmt::format("{}{}[{}]", position, field, index++);
            readObject(at, [&] { read(at, element); });
        }
    }

    void readTeams(const json& list)
    {
        team_reader reader;
        std::size_t index = 0;
        readObject("tenants", [&] { checkTeamList(list); });
        if (list.is_array()) {
            for (const auto& element : list)
                readObject(fmt::format("tenants[{}]", index++), [&] { reader.add(element); });
        }
        m_config.teams = reader.take();
    }

    const json& m_from;
    configuration m_config;
    std::string m_errors;
};

} // namespace

absl::StatusOr<server_entry> readServerEntry(const std::string& id, const std::string& text)
{
    return readChecked("server " + id, [&] { return readEntry(id, parseJsonOrThrow(text)); });
}

absl::StatusOr<configuration> readConfiguration(const std::string& text)
{
    const auto parsed = readChecked("configuration", [&] { return parseJsonOrThrow(text); });
    return parsed.ok() ? configuration_reader(*parsed).read() : parsed.status();
}

namespace {

absl::Status addServer(const std::string& id, state::revision number, const std::optional<std::string>& text,
    state::gateway::published_fleet& to)
{
    auto& item = to.servers[id];
    item = { number, std::nullopt };
    if (!text)
        return absl::OkStatus();
    auto entry = readServerEntry(id, *text);
    if (!entry.ok())
        return entry.status();
    item.value = *std::move(entry);
    return absl::OkStatus();
}

absl::Status addConfiguration(
    state::revision number, const std::optional<std::string>& text, state::gateway::published_fleet& to)
{
    if (!text)
        return absl::OkStatus(); // a removal leaves the current configuration in force
    auto config = readConfiguration(*text);
    if (!config.ok())
        return config.status();
    to.config = { number, *std::move(config) };
    return absl::OkStatus();
}

} // namespace

absl::Status addItem(const json& item, state::gateway::published_fleet& to, state::revision era)
{
    try {
        const auto key = text(item, "key");
        const auto inEra = number<state::revision>(item, "revision");
        if (inEra >= state::revisionsPerEra)
            throw field_error { "revision" };
        const auto revision = era * state::revisionsPerEra + inEra;
        std::optional<std::string> value;
        // A removed item has the field "compacted" instead of a value.
        if (item.contains("value") && !absl::Base64Unescape(text(item, "value"), &value.emplace()))
            throw field_error { "value" };
        if (key.starts_with(serverPrefix))
            return addServer(key.substr(serverPrefix.size()), revision, value, to);
        if (key == configurationKey)
            return addConfiguration(revision, value, to);
        if (key.starts_with(evacuationPrefix)) {
            auto& evacuation = to.evacuations[key.substr(evacuationPrefix.size())];
            evacuation.revisionNumber = revision;
            evacuation.value = value ? std::optional(state::gateway::evacuation {}) : std::nullopt;
        }
        return absl::OkStatus();
    } catch (const field_error& error) {
        return absl::InvalidArgumentError(fmt::format("store item: field '{}' is missing or malformed", error.field));
    }
}

} // namespace acaciaslip::platform
