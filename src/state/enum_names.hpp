#pragma once

#include <optional>
#include <string_view>

namespace acaciaslip::state {

/// One row of a table that maps the values of an enumeration to their external names.
template <typename Enum> struct enum_name {
    Enum value;
    std::string_view name;
};

/// Looks up the name of an enumeration value.
/// \return the name, or "unknown" if the table does not contain the value
template <typename Enum, typename Table>
[[nodiscard]] constexpr std::string_view findName(const Table& table, Enum value) noexcept
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// Looks up the enumeration value that has a name.
/// \return the value, or nothing if the table does not contain the name
template <typename Enum, typename Table>
[[nodiscard]] constexpr std::optional<Enum> findValue(const Table& table, std::string_view name) noexcept
{
    for (const auto& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace acaciaslip::state
