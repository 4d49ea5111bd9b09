#pragma once

#include <array>
#include <string_view>

namespace acaciaslip::coordination {

/// Names every other published value with its newest revision.
inline constexpr std::string_view indexKey = "acaciaslip/index";
/// The lagging list of hosts.
inline constexpr std::string_view hostsKey = "acaciaslip/hosts";
/// The data centres that operators have taken out.
inline constexpr std::string_view dataCentresKey = "acaciaslip/data_centres";
/// The templates that teams use.
inline constexpr std::string_view templatesKey = "acaciaslip/templates";

/// Values that a node reads whether or not the index names them, in the order in which a new node needs them.
inline constexpr std::array<std::string_view, 4> wellKnownKeys { hostsKey, indexKey, dataCentresKey, templatesKey };

} // namespace acaciaslip::coordination
