#include "protocol/published_values.hpp"

#include "protocol/host_list_reader.hpp"
#include "protocol/http/message.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace acaciaslip::protocol {

namespace {

constexpr std::array<std::string_view, 1> indexKeys { "values" };
constexpr std::array<std::string_view, 1> dataCentresKeys { "out" };
constexpr std::array<std::string_view, 2> teamKeys { "team", "services" };
constexpr std::array<std::string_view, 5> knownKeys { "acaciaslip/index", "acaciaslip/templates",
    "acaciaslip/data_centres", "acaciaslip/hosts", "acaciaslip/teams/TEAM" };
constexpr number_bounds revisionBounds { 1, static_cast<double>(maxRevision), "(a revision)" };

void readIndex(parsed_value& value, const located_value& root)
{
    if (!checkMapping(root, indexKeys, value.issues))
        return;
    const auto values = requireKey(root, "values", value.issues);
    if (!values)
        return;
    std::vector<std::string_view> names;
    for (const auto& entry : values->value->entries) {
        if (findValueKind(entry.key))
            names.push_back(entry.key);
    }
    names.insert(names.end(), knownKeys.begin(), knownKeys.end());
    if (!checkMapping(*values, names, value.issues))
        return;
    for (const auto& entry : values->value->entries) {
        const auto number = readInteger({ &entry.value, root.documentName }, revisionBounds, value.issues);
        if (number)
            value.indexedRevisions.try_emplace(entry.key, *number);
    }
}

void readDataCentres(parsed_value& value, const located_value& root)
{
    if (!checkMapping(root, dataCentresKeys, value.issues))
        return;
    const auto out = requireKey(root, "out", value.issues);
    if (!out || !checkSequence(*out, value.issues))
        return;
    for (const auto& item : out->value->items) {
        const located_value where { &item, root.documentName };
        const auto id = readIdentifier(where, value.issues);
        if (!id)
            continue;
        auto& known = value.evacuatedDataCentres;
        if (std::find(known.begin(), known.end(), *id) != known.end())
            addIssue(value.issues, where, fmt::format("the data centre '{}' is listed twice; keep one", *id));
        else
            known.push_back(*id);
    }
}

void readTeam(parsed_value& value, const located_value& root, std::string_view key)
{
    if (!checkMapping(root, teamKeys, value.issues))
        return;
    const auto expected = key.substr(teamKeyPrefix.size());
    if (const auto team = requireKey(root, "team", value.issues)) {
        assignIfPresent(value.team, readIdentifier(*team, value.issues));
        if (!value.team.empty() && value.team != expected)
            addIssue(value.issues, *team,
                fmt::format("the value names team '{}', but its key names '{}'; write team: {}", value.team, expected,
                    expected));
    }
    const auto services = requireKey(root, "services", value.issues);
    if (!services || !checkSequence(*services, value.issues))
        return;
    for (const auto& item : services->value->items)
        value.templateUses.push_back({ &item, root.documentName });
}

} // namespace

std::optional<value_kind> findValueKind(std::string_view key)
{
    if (key == indexKey)
        return value_kind::index;
    if (key == templatesKey)
        return value_kind::templates;
    if (key == dataCentresKey)
        return value_kind::data_centres;
    if (key == hostsKey)
        return value_kind::hosts;
    if (key.starts_with(teamKeyPrefix) && key.size() > teamKeyPrefix.size())
        return value_kind::team;
    return std::nullopt;
}

std::optional<state::revision> parseRevision(std::string_view text)
{
    const auto number = http::parseUnsigned(text);
    return number && *number >= 1 && *number <= maxRevision ? number : std::nullopt;
}

void parseValue(parsed_value& value, std::string_view key, std::string name, std::string_view body)
{
    const auto kind = findValueKind(key);
    if (!kind) {
        value.issues.push_back({ std::move(name), 1, 1,
            fmt::format(
                "'{}' is not a known key{}; rename it or publish it elsewhere", key, suggest(key, knownKeys)) });
        return;
    }
    value.kind = *kind;
    auto document = readYaml(body, name);
    if (!document.ok()) {
        value.issues.push_back(statusToIssue(name, document.status()));
        return;
    }
    value.isValidYaml = true;
    value.document = std::move(*document);
    const located_value root { &value.document.root, &value.document.name };
    switch (*kind) {
    case value_kind::index:
        return readIndex(value, root);
    case value_kind::templates:
        value.templates = readTemplates(root, value.issues);
        return;
    case value_kind::data_centres:
        return readDataCentres(value, root);
    case value_kind::hosts:
        value.hosts = readHosts(root, value.issues);
        return;
    case value_kind::team:
        return readTeam(value, root, key);
    }
}

} // namespace acaciaslip::protocol
