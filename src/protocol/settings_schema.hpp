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

/// An error in a setting and its position.
struct settings_issue {
    std::string name; ///< file name or key
    int line = 1;
    int column = 1;
    std::string message; ///< error and suggested fix

    [[nodiscard]] bool operator==(const settings_issue&) const = default;
    [[nodiscard]] bool operator<(const settings_issue& other) const
    {
        return std::tie(name, line, column, message) < std::tie(other.name, other.line, other.column, other.message);
    }
};

/// All errors found.
using issue_list = std::vector<settings_issue>;

/// Maximum number of issues listed in one error; further issues are only counted.
inline constexpr std::size_t maxIssuesShown = 50;

/// Combines all issues into one error, one per line, ordered by name, line and column. Duplicates are removed.
/// \return OK if there are no issues
[[nodiscard]] absl::Status issuesToStatus(issue_list issues);

/// Converts an error of the form "name:line:column: what" back into an issue.
/// \details Any other error becomes an issue at line 1, column 1.
[[nodiscard]] settings_issue statusToIssue(const std::string& name, const absl::Status& status);

/// A YAML value and the name of the document that contains it.
struct located_value {
    const yaml_value* value = nullptr;
    const std::string* documentName = nullptr;
};

/// Adds an issue at the position of a value.
void addIssue(issue_list& issues, const located_value& where, std::string what);

/// Finds the known word with the smallest edit distance.
/// \return the word, or nothing if none is similar enough
[[nodiscard]] std::optional<std::string_view> findNearest(
    std::string_view word, std::span<const std::string_view> known);

/// Returns " (did you mean 'WORD'?)", or an empty string if no known word is similar enough.
[[nodiscard]] std::string suggest(std::string_view word, std::span<const std::string_view> known);

/// Checks that a value is a mapping with known keys and no duplicates.
/// \return whether it is a mapping; unknown and duplicate keys are reported as issues only
bool checkMapping(const located_value& value, std::span<const std::string_view> known, issue_list& issues);

/// Checks that a value is a sequence and reports an issue otherwise.
bool checkSequence(const located_value& value, issue_list& issues);

/// Finds a key in a mapping; a key with a null value counts as missing.
[[nodiscard]] std::optional<located_value> findKey(const located_value& mapping, std::string_view key);

/// Finds a key in a mapping and reports an issue if it is missing.
[[nodiscard]] std::optional<located_value> requireKey(
    const located_value& mapping, std::string_view key, issue_list& issues);

/// Inclusive bounds of a number, and its unit for error messages.
struct number_bounds {
    double lowest = 0;
    double highest = 0;
    std::string_view unit;
};

/// Reads a non-empty string.
/// \return the string, or nothing and an issue if the value is empty or not a scalar
[[nodiscard]] std::optional<std::string> readText(const located_value& value, issue_list& issues);

/// Reads the name of a host, a data centre, a team or a service.
[[nodiscard]] std::optional<std::string> readIdentifier(const located_value& value, issue_list& issues);

/// Reads "ip:port" with a numeric IPv4 address.
[[nodiscard]] std::optional<std::string> readAddress(const located_value& value, issue_list& issues);

/// Reads an integer within bounds.
[[nodiscard]] std::optional<std::uint64_t> readInteger(
    const located_value& value, const number_bounds& bounds, issue_list& issues);

/// Reads a number within bounds.
[[nodiscard]] std::optional<double> parseUnsigned(
    const located_value& value, const number_bounds& bounds, issue_list& issues);

/// Reads "on" or "off"; "true" and "false" are accepted as well.
[[nodiscard]] std::optional<bool> readSwitch(const located_value& value, issue_list& issues);

/// Reports that a value is none of the known words.
void reportUnknownChoice(issue_list& issues, const located_value& value, std::span<const std::string_view> known);

/// Reads an enumerator by its name in the enumeration's table.
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
        reportUnknownChoice(issues, value, names);
    return found;
}

/// Assigns a value if it was read successfully.
template <typename Target, typename Source> void assignIfPresent(Target& target, const std::optional<Source>& source)
{
    if (source)
        target = static_cast<Target>(*source);
}

} // namespace acaciaslip::protocol
