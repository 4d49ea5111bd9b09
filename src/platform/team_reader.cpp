#include "platform/team_reader.hpp"

#include "platform/json_field.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::platform {

namespace {

using nlohmann::json;
using state::gateway::team;

/// Teams and keys of one configuration. The decoder of peer messages accepts lists of 65,536 entries; a longer list
/// could be read from the store but not relayed.
constexpr std::size_t maxEntries = 65536;
/// The name is sent in a header and repeated in log lines and metrics.
constexpr std::size_t maxNameBytes = 256;

/// Whether a text can be sent as the value of a header: without control characters, which would end the line, and
/// without surrounding spaces, which the receiver removes.
bool isHeaderValue(const std::string& text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const bool printable = std::all_of(text.begin(), text.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte >= firstPrintable && byte != deleteCharacter;
    });
    return printable && !text.starts_with(' ') && !text.ends_with(' ');
}

} // namespace

void checkTeamList(const json& list)
{
    if (!list.is_array())
        throw team_error { "is not a list" };
    if (list.size() > maxEntries)
        throw team_error { fmt::format("has more than {} entries", maxEntries) };
}

void team_reader::add(const json& from)
{
    const auto position = m_position++;
    team read;
    read.name = json_field::text(from, "name");
    if (read.name.size() > maxNameBytes || !isHeaderValue(read.name))
        throw team_error { fmt::format(
            "field 'name' is longer than {} bytes or cannot be sent in a header", maxNameBytes) };
    if (const auto [known, isNew] = m_names.try_emplace(read.name, position); !isNew)
        throw team_error { fmt::format("has the same name as tenants[{}]", known->second) };
    // Peer messages carry the priority as a signed number.
    if (from.contains("priority"))
        read.priority = static_cast<std::uint32_t>(json_field::number<std::int32_t>(from, "priority"));
    if (from.contains("rate-per-s"))
        read.ratePerSecond = json_field::number<double>(from, "rate-per-s");
    if (from.contains("burst"))
        read.burst = json_field::number<double>(from, "burst");
    addKeys(json_field::at(from, "api-keys"), read);
    m_teams.push_back(std::move(read));
}

void team_reader::addKeys(const json& list, team& to)
{
    if (!list.is_array())
        throw json_field::field_error { "api-keys" };
    const auto position = m_position - 1;
    std::size_t index = 0;
    for (const auto& element : list) {
        const auto at = fmt::format("api-keys[{}]", index++);
        if (!element.is_string())
            throw team_error { at + " is not a string" };
        const auto& key = element.get_ref<const std::string&>();
        if (!isHeaderValue(key) || key.empty())
            throw team_error { at + " is empty or cannot be sent in a header" };
        const auto [known, isNew] = m_keys.try_emplace(key, position);
        if (!isNew && known->second != position)
            throw team_error { fmt::format("{} is also a key of tenants[{}]", at, known->second) };
        if (isNew)
            to.keys.push_back(key);
    }
    if (m_keys.size() > maxEntries)
        throw team_error { fmt::format("the configuration has more than {} keys", maxEntries) };
}

} // namespace acaciaslip::platform
