#include "protocol/host_list_reader.hpp"

#include <array>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::protocol {

namespace {

constexpr std::array<std::string_view, 8> hostKeys { "id", "address", "data_centre", "kind", "service", "team", "state",
    "peer_address" };

constexpr std::array<state::enum_name<state::host_listing>, 2> listedStates { {
    { state::host_listing::live, "live" },
    { state::host_listing::leaving, "leaving" },
} };

/// Finds a key; an empty string counts as missing, because the program that generates the list writes empty fields.
std::optional<located_value> findNonEmpty(const located_value& host, std::string_view key)
{
    auto found = findKey(host, key);
    if (found && found->value->kind == yaml_kind::scalar && found->value->text.empty())
        return std::nullopt;
    return found;
}

void readServerKeys(state::host_record& record, const located_value& host, issue_list& issues)
{
    if (const auto address = requireKey(host, "address", issues))
        assignIfPresent(record.address, readAddress(*address, issues));
    if (const auto team = requireKey(host, "team", issues))
        assignIfPresent(record.service.team, readIdentifier(*team, issues));
    if (const auto service = requireKey(host, "service", issues))
        assignIfPresent(record.service.name, readIdentifier(*service, issues));
}

void readEntryKeys(state::host_record& record, const located_value& host, issue_list& issues)
{
    if (const auto address = findNonEmpty(host, "address"))
        assignIfPresent(record.address, readAddress(*address, issues));
    if (const auto address = findNonEmpty(host, "peer_address"))
        assignIfPresent(record.peerAddress, readAddress(*address, issues));
}

state::host_record readHost(const located_value& host, issue_list& issues)
{
    state::host_record record;
    if (const auto id = requireKey(host, "id", issues))
        assignIfPresent(record.id, readIdentifier(*id, issues));
    if (const auto dataCentre = requireKey(host, "data_centre", issues))
        assignIfPresent(record.dataCentre, readIdentifier(*dataCentre, issues));
    if (const auto listed = findKey(host, "state"))
        assignIfPresent(record.listing, readChoice<state::host_listing>(*listed, listedStates, issues));
    const auto named = requireKey(host, "kind", issues);
    const auto kind = named ? readChoice<state::host_kind>(*named, state::hostKindNames, issues) : std::nullopt;
    assignIfPresent(record.kind, kind);
    if (kind == state::host_kind::server)
        readServerKeys(record, host, issues);
    if (kind == state::host_kind::entry)
        readEntryKeys(record, host, issues);
    return record;
}

} // namespace

std::vector<state::host_record> readHosts(const located_value& root, issue_list& issues)
{
    std::vector<state::host_record> records;
    if (!checkSequence(root, issues))
        return records;
    absl::flat_hash_map<state::host_id, int> lines;
    for (const auto& item : root.value->items) {
        const located_value host { &item, root.documentName };
        if (!checkMapping(host, hostKeys, issues))
            continue;
        auto record = readHost(host, issues);
        const auto [first, added] = lines.try_emplace(record.id, item.line);
        if (!added && !record.id.empty())
            addIssue(issues, host,
                fmt::format("the host '{}' is already listed in line {}; remove one", record.id, first->second));
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace acaciaslip::protocol
