#pragma once

#include <array>
#include <string_view>

namespace acaciaslip::coordination {

/// Index: the newest revision of every other published value.
inline constexpr std::string_view indexKey = "acaciaslip/index";
/// List of hosts; may be out of date.
inline constexpr std::string_view hostsKey = "acaciaslip/hosts";
/// Data centres that operators have taken out of service.
inline constexpr std::string_view dataCentresKey = "acaciaslip/data_centres";
/// Templates that the teams' settings use.
inline constexpr std::string_view templatesKey = "acaciaslip/templates";

/// Keys that a node reads even if the index does not name them, in the order in which a starting node needs them.
inline constexpr std::array<std::string_view, 4> wellKnownKeys { hostsKey, indexKey, dataCentresKey, templatesKey };

} // namespace acaciaslip::coordination
