#include "protocol/node_settings_reader.hpp"

#include "coordination/effects.hpp"
#include "protocol/settings_schema.hpp"

#include <array>

namespace acaciaslip::protocol {

namespace {

constexpr std::array<std::string_view, 12> nodeKeys { "id", "data_centre", "callers", "peers", "operators", "platform",
    "seed_peers", "lame_duck_ms", "log_level", "caller_threads", "max_body_bytes", "memory_bytes" };

constexpr number_bounds lameDuckBounds { 0, 600'000, "ms" };
constexpr number_bounds threadBounds { 1, 4096, "threads" };
constexpr number_bounds bodyBounds { 1, 1024.0 * 1024 * 1024, "bytes" };
constexpr number_bounds memoryBounds { 64.0 * 1024 * 1024, 1024.0 * 1024 * 1024 * 1024, "bytes" };

std::vector<std::string> readAddresses(const located_value& list, issue_list& issues)
{
    std::vector<std::string> addresses;
    if (!checkSequence(list, issues))
        return addresses;
    for (const auto& item : list.value->items) {
        if (auto address = readAddress({ &item, list.documentName }, issues))
            addresses.push_back(std::move(*address));
    }
    return addresses;
}

/// Checks a key that only earlier versions used, and records it as ignored.
void ignoreInteger(state::node_settings& settings, std::string_view key, const located_value& value,
    const number_bounds& bounds, issue_list& issues)
{
    if (readInteger(value, bounds, issues))
        settings.ignoredKeys.emplace_back(key);
}

void readRequired(state::node_settings& settings, const located_value& root, issue_list& issues)
{
    if (const auto id = requireKey(root, "id", issues))
        assignIfPresent(settings.id, readIdentifier(*id, issues));
    if (const auto dataCentre = requireKey(root, "data_centre", issues))
        assignIfPresent(settings.dataCentre, readIdentifier(*dataCentre, issues));
    if (const auto address = requireKey(root, "callers", issues))
        assignIfPresent(settings.callerAddress, readAddress(*address, issues));
    if (const auto address = requireKey(root, "peers", issues))
        assignIfPresent(settings.peerAddress, readAddress(*address, issues));
    if (const auto address = requireKey(root, "operators", issues))
        assignIfPresent(settings.operatorAddress, readAddress(*address, issues));
    if (const auto list = requireKey(root, "platform", issues)) {
        settings.platformAddresses = readAddresses(*list, issues);
        if (list->value->kind == yaml_kind::sequence && list->value->items.empty())
            addIssue(
                issues, *list, "the list is empty; enter at least one address of the platform's configuration service");
    }
}

void readOptional(state::node_settings& settings, const located_value& root, issue_list& issues)
{
    if (const auto list = findKey(root, "seed_peers"))
        settings.seedPeers = readAddresses(*list, issues);
    if (const auto lameDuck = findKey(root, "lame_duck_ms")) {
        if (const auto number = readInteger(*lameDuck, lameDuckBounds, issues))
            settings.lameDuck = std::chrono::milliseconds { *number };
    }
    if (const auto level = findKey(root, "log_level")) {
        if (readChoice<coordination::log_level>(*level, coordination::logLevelNames, issues))
            settings.logLevel = level->value->text;
    }
    if (const auto threads = findKey(root, "caller_threads"))
        ignoreInteger(settings, "caller_threads", *threads, threadBounds, issues);
    if (const auto bytes = findKey(root, "max_body_bytes"))
        assignIfPresent(settings.maxBodyBytes, readInteger(*bytes, bodyBounds, issues));
    if (const auto bytes = findKey(root, "memory_bytes"))
        assignIfPresent(settings.memoryBytes, readInteger(*bytes, memoryBounds, issues));
}

/// Checks that callers, peers and operators have different addresses; peers also use a TCP port.
void checkPorts(const state::node_settings& settings, const located_value& root, issue_list& issues)
{
    const std::array<std::pair<std::string_view, const std::string*>, 3> ports {
        { { "callers", &settings.callerAddress }, { "peers", &settings.peerAddress },
            { "operators", &settings.operatorAddress } }
    };
    for (std::size_t later = 1; later < ports.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const auto& [name, address] = ports[later];
            if (address->empty() || *address != *ports[earlier].second)
                continue;
            addIssue(issues, findKey(root, name).value_or(root),
                fmt::format("'{}' is also the address for {}; give each its own port", *address, ports[earlier].first));
        }
    }
}

} // namespace

std::span<const std::string_view> nodeKeyNames()
{
    return nodeKeys;
}

absl::StatusOr<state::node_settings> readNodeSettings(std::string_view text, const std::string& name)
{
    const auto document = readYaml(text, name);
    if (!document.ok())
        return document.status();
    const located_value root { &document->root, &document->name };
    issue_list issues;
    state::node_settings settings;
    if (checkMapping(root, nodeKeys, issues)) {
        readRequired(settings, root, issues);
        readOptional(settings, root, issues);
        checkPorts(settings, root, issues);
    }
    if (!issues.empty())
        return issuesToStatus(std::move(issues));
    return settings;
}

} // namespace acaciaslip::protocol
