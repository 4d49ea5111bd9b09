#pragma once

#include <optional>
#include <string_view>

namespace acaciaslip::state {

/// One row of the table that names an enumeration's values.
template <typename Enum> struct enum_name {
    Enum value;
    std::string_view name;
};

/// Finds a value's name in its table.
/// \return the name, or "unknown" for a value outside the table
template <typename Enum, typename Table>
[[nodiscard]] constexpr std::string_view findName(const Table& table, Enum value) noexcept
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// Finds the value that a table gives a name.
/// \return the value, or nothing when no row has the name
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
