#include "protocol/settings_schema.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <fmt/ranges.h>

namespace acaciaslip::protocol {

namespace {

constexpr std::size_t maxIdentifierLength = 128;
constexpr std::size_t maxTextShown = 60;
constexpr int highestPort = 65535;

std::string_view describeKind(const yaml_value& value)
{
    switch (value.kind) {
    case yaml_kind::null:
        return "nothing";
    case yaml_kind::scalar:
        return "a single value";
    case yaml_kind::sequence:
        return "a list";
    case yaml_kind::mapping:
        return "a mapping";
    }
    return "something else";
}

/// Quotes a value for an error message: truncated to a maximum length and without control characters.
std::string quote(const yaml_value& value)
{
    if (value.kind != yaml_kind::scalar)
        return std::string(describeKind(value));
    std::string shown = value.text.substr(0, maxTextShown);
    for (char& character : shown) {
        if (static_cast<unsigned char>(character) < ' ')
            character = '?';
    }
    return fmt::format("'{}'{}", shown, value.text.size() > maxTextShown ? "…" : "");
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ replaced, row[j] + 1, diagonal + 1 });
        }
    }
    return row.back();
}

bool isIdentifierCharacter(char character)
{
    const bool alphanumeric = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9');
    return alphanumeric || character == '-' || character == '_' || character == '.';
}

std::optional<std::string> readScalar(const located_value& value, std::string_view expected, issue_list& issues)
{
    if (value.value->kind == yaml_kind::scalar)
        return value.value->text;
    addIssue(
        issues, value, fmt::format("found {} instead of {}; write {}", describeKind(*value.value), expected, expected));
    return std::nullopt;
}

void reportBounds(issue_list& issues, const located_value& value, const number_bounds& bounds)
{
    addIssue(issues, value,
        fmt::format(
            "{} is out of range; write {} to {} {}", quote(*value.value), bounds.lowest, bounds.highest, bounds.unit));
}

bool isWithin(double number, const number_bounds& bounds)
{
    return std::isfinite(number) && number >= bounds.lowest && number <= bounds.highest;
}

} // namespace

absl::Status issuesToStatus(issue_list issues)
{
    if (issues.empty())
        return absl::OkStatus();
    std::sort(issues.begin(), issues.end());
    issues.erase(std::unique(issues.begin(), issues.end()), issues.end());
    std::string text;
    for (std::size_t index = 0; index < std::min(issues.size(), maxIssuesShown); ++index) {
        const auto& issue = issues[index];
        text += fmt::format(
            "{}{}:{}:{}: {}", text.empty() ? "" : "\n", issue.name, issue.line, issue.column, issue.message);
    }
    if (issues.size() > maxIssuesShown)
        text += fmt::format("\nand {} more", issues.size() - maxIssuesShown);
    return absl::InvalidArgumentError(text);
}

settings_issue statusToIssue(const std::string& name, const absl::Status& status)
{
    settings_issue issue { name, 1, 1, std::string(status.message()) };
    const std::string prefix = name + ':';
    const std::string text = issue.message;
    if (!text.starts_with(prefix))
        return issue;
    const auto line = text.find(':', prefix.size());
    const auto column = line == std::string::npos ? line : text.find(':', line + 1);
    if (column == std::string::npos || column + 2 > text.size())
        return issue;
    if (absl::SimpleAtoi(text.substr(prefix.size(), line - prefix.size()), &issue.line)
        && absl::SimpleAtoi(text.substr(line + 1, column - line - 1), &issue.column))
        issue.message = text.substr(column + 2);
    return issue;
}

void addIssue(issue_list& issues, const located_value& where, std::string what)
{
    issues.push_back({ *where.documentName, where.value->line, where.value->column, std::move(what) });
}

std::optional<std::string_view> findNearest(std::string_view word, std::span<const std::string_view> known)
{
    constexpr std::size_t longestCompared = 64;
    if (word.size() > longestCompared)
        return std::nullopt;
    std::optional<std::string_view> nearest;
    std::size_t smallestDistance = std::max<std::size_t>(2, word.size() / 2) + 1;
    for (const auto candidate : known) {
        const auto distance = editDistance(word, candidate);
        if (distance < smallestDistance) {
            smallestDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string suggest(std::string_view word, std::span<const std::string_view> known)
{
    const auto nearest = findNearest(word, known);
    return nearest ? fmt::format(" (did you mean '{}'?)", *nearest) : std::string();
}

bool checkMapping(const located_value& value, std::span<const std::string_view> known, issue_list& issues)
{
    if (value.value->kind != yaml_kind::mapping) {
        addIssue(
            issues, value, fmt::format("found {} instead of a mapping; write KEY: VALUE", describeKind(*value.value)));
        return false;
    }
    std::vector<std::string_view> seen;
    for (const auto& entry : value.value->entries) {
        const auto addEntryIssue = [&](std::string what) {
            issues.push_back({ *value.documentName, entry.line, entry.column, std::move(what) });
        };
        yaml_value key;
        key.kind = yaml_kind::scalar;
        key.text = entry.key;
        if (std::find(seen.begin(), seen.end(), entry.key) != seen.end())
            addEntryIssue(fmt::format("the key {} is given twice; keep one", quote(key)));
        else if (std::find(known.begin(), known.end(), entry.key) == known.end())
            addEntryIssue(fmt::format("unknown key {}{}; remove it or use one of: {}", quote(key),
                suggest(entry.key, known), fmt::join(known, ", ")));
        seen.push_back(entry.key);
    }
    return true;
}

bool checkSequence(const located_value& value, issue_list& issues)
{
    if (value.value->kind == yaml_kind::sequence)
        return true;
    addIssue(issues, value,
        fmt::format("found {} instead of a list; write [] or one '- VALUE' per line", describeKind(*value.value)));
    return false;
}

std::optional<located_value> findKey(const located_value& mapping, std::string_view key)
{
    for (const auto& entry : mapping.value->entries) {
        if (entry.key == key && entry.value.kind != yaml_kind::null)
            return located_value { &entry.value, mapping.documentName };
    }
    return std::nullopt;
}

std::optional<located_value> requireKey(const located_value& mapping, std::string_view key, issue_list& issues)
{
    auto found = findKey(mapping, key);
    if (!found)
        addIssue(issues, mapping, fmt::format("the key '{}' is missing or empty; add it", key));
    return found;
}

std::optional<std::string> readText(const located_value& value, issue_list& issues)
{
    auto text = readScalar(value, "text", issues);
    if (!text || !text->empty())
        return text;
    addIssue(issues, value, "the text is empty; enter a value or remove the key");
    return std::nullopt;
}

std::optional<std::string> readIdentifier(const located_value& value, issue_list& issues)
{
    auto text = readText(value, issues);
    if (!text)
        return std::nullopt;
    if (text->size() <= maxIdentifierLength && std::all_of(text->begin(), text->end(), isIdentifierCharacter))
        return text;
    addIssue(issues, value,
        fmt::format("{} is not a valid name; use up to {} of the characters a-z A-Z 0-9 - _ .", quote(*value.value),
            maxIdentifierLength));
    return std::nullopt;
}

std::optional<std::string> readAddress(const located_value& value, issue_list& issues)
{
    auto text = readText(value, issues);
    if (!text)
        return std::nullopt;
    const auto colon = text->rfind(':');
    const std::string ip = text->substr(0, colon == std::string::npos ? 0 : colon);
    const std::string port = colon == std::string::npos ? std::string() : text->substr(colon + 1);
    const bool digits = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    in_addr parsed {};
    if (digits && std::stoi(port) >= 1 && std::stoi(port) <= highestPort
        && inet_pton(AF_INET, ip.c_str(), &parsed) == 1)
        return text;
    addIssue(issues, value,
        fmt::format("{} is not an address; write IP:PORT, for example 10.0.0.1:8080", quote(*value.value)));
    return std::nullopt;
}

std::optional<std::uint64_t> readInteger(const located_value& value, const number_bounds& bounds, issue_list& issues)
{
    const auto text = readScalar(value, "a whole number", issues);
    if (!text)
        return std::nullopt;
    std::int64_t number = 0;
    const bool digits = !text->empty() && text->find_first_not_of("-0123456789") == std::string::npos;
    if (value.value->quoted || !digits || !absl::SimpleAtoi(*text, &number)) {
        addIssue(issues, value,
            fmt::format("{} is not a whole number; write {} to {} {}", quote(*value.value), bounds.lowest,
                bounds.highest, bounds.unit));
        return std::nullopt;
    }
    if (isWithin(static_cast<double>(number), bounds))
        return static_cast<std::uint64_t>(number);
    reportBounds(issues, value, bounds);
    return std::nullopt;
}

std::optional<double> parseUnsigned(const located_value& value, const number_bounds& bounds, issue_list& issues)
{
    const auto text = readScalar(value, "a number", issues);
    if (!text)
        return std::nullopt;
    double number = 0;
    const bool digits = !text->empty() && text->find_first_not_of("-+.0123456789eE") == std::string::npos;
    if (value.value->quoted || !digits || !absl::SimpleAtod(*text, &number)) {
        addIssue(issues, value,
            fmt::format("{} is not a number; write {} to {} {}", quote(*value.value), bounds.lowest, bounds.highest,
                bounds.unit));
        return std::nullopt;
    }
    if (isWithin(number, bounds))
        return number;
    reportBounds(issues, value, bounds);
    return std::nullopt;
}

std::optional<bool> readSwitch(const located_value& value, issue_list& issues)
{
    const auto& text = value.value->text;
    if (value.value->kind == yaml_kind::scalar && (text == "on" || text == "true"))
        return true;
    if (value.value->kind == yaml_kind::scalar && (text == "off" || text == "false"))
        return false;
    addIssue(issues, value, fmt::format("{} is neither on nor off; write on or off", quote(*value.value)));
    return std::nullopt;
}

void reportUnknownChoice(issue_list& issues, const located_value& value, std::span<const std::string_view> known)
{
    const bool scalar = value.value->kind == yaml_kind::scalar;
    addIssue(issues, value,
        fmt::format("{} is not known here{}; write one of: {}", quote(*value.value),
            scalar ? suggest(value.value->text, known) : std::string(), fmt::join(known, ", ")));
}

} // namespace acaciaslip::protocol
