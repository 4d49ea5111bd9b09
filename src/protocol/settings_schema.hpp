#pragma once

#include "protocol/yaml_document.hpp"
#include "state/enum_names.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <absl/status/status.h>
#include <fmt/format.h>

namespace acaciaslip::protocol {

/// Something wrong with a setting, and where.
struct settings_issue {
    std::string name; ///< of the file or key
    int line = 1;
    int column = 1;
    std::string what; ///< what is wrong; what to do

    [[nodiscard]] bool operator==(const settings_issue&) const = default;
    [[nodiscard]] bool operator<(const settings_issue& other) const
    {
        return std::tie(name, line, column, what) < std::tie(other.name, other.line, other.column, other.what);
    }
};

/// Everything that was found wrong.
using issue_list = std::vector<settings_issue>;

/// How many issues an error spells out; the rest is counted.
inline constexpr std::size_t maxIssuesShown = 50;

/// Puts all issues into one error, a line each, in the order of name, line and column.
/// \return OK when there is none
[[nodiscard]] absl::Status toStatus(issue_list issues);

/// Turns an error that already says where back into an issue.
[[nodiscard]] settings_issue toIssue(const std::string& name, const absl::Status& status);

/// A value together with the text that it stands in.
struct located_value {
    const yaml_value* value = nullptr;
    const std::string* name = nullptr;
};

/// Notes that a value is wrong.
void report(issue_list& issues, const located_value& where, std::string what);

/// Finds the known word that differs least.
/// \return the word, or nothing when none is near
[[nodiscard]] std::optional<std::string_view> findNearest(
    std::string_view word, std::span<const std::string_view> known);

/// Gives " (did you mean 'WORD'?)", or nothing when no known word is near.
[[nodiscard]] std::string suggest(std::string_view word, std::span<const std::string_view> known);

/// Checks that a value is a mapping of known keys, none of them twice.
/// \return whether it is a mapping; wrong keys are noted and passed over
bool checkMapping(const located_value& value, std::span<const std::string_view> known, issue_list& issues);

/// Checks that a value is a sequence.
bool checkSequence(const located_value& value, issue_list& issues);

/// Finds a key of a mapping; a null value counts as none.
[[nodiscard]] std::optional<located_value> find(const located_value& mapping, std::string_view key);

/// Finds a key of a mapping, and notes when it is missing.
[[nodiscard]] std::optional<located_value> require(
    const located_value& mapping, std::string_view key, issue_list& issues);

/// Bounds of a number, and its unit for errors.
struct number_bounds {
    double lowest = 0;
    double highest = 0;
    std::string_view unit;
};

/// Reads a text. \return nothing, and an issue, when it is none or empty
[[nodiscard]] std::optional<std::string> readText(const located_value& value, issue_list& issues);

/// Reads the name of a host, a data centre, a team or a service.
[[nodiscard]] std::optional<std::string> readIdentifier(const located_value& value, issue_list& issues);

/// Reads "ip:port" with an IPv4 number.
[[nodiscard]] std::optional<std::string> readAddress(const located_value& value, issue_list& issues);

/// Reads a whole number within bounds.
[[nodiscard]] std::optional<std::uint64_t> readInteger(
    const located_value& value, const number_bounds& bounds, issue_list& issues);

/// Reads a number within bounds.
[[nodiscard]] std::optional<double> readNumber(
    const located_value& value, const number_bounds& bounds, issue_list& issues);

/// Reads "on" or "off".
[[nodiscard]] std::optional<bool> readSwitch(const located_value& value, issue_list& issues);

/// Notes that a word is none of those known.
void reportChoice(issue_list& issues, const located_value& value, std::span<const std::string_view> known);

/// Reads one of the names of an enumeration's table.
template <typename Enum, typename Table>
[[nodiscard]] std::optional<Enum> readChoice(const located_value& value, const Table& table, issue_list& issues)
{
    std::vector<std::string_view> names;
    names.reserve(table.size());
    for (const auto& row : table)
        names.push_back(row.name);
    const auto found
        = value.value->kind == yaml_kind::scalar ? state::findValue<Enum>(table, value.value->text) : std::nullopt;
    if (!found)
        reportChoice(issues, value, names);
    return found;
}

/// Stores what was read, when something was.
template <typename Target, typename Source> void assign(Target& target, const std::optional<Source>& source)
{
    if (source)
        target = static_cast<Target>(*source);
}

} // namespace acaciaslip::protocol
