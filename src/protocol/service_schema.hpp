#pragma once

#include "protocol/settings_schema.hpp"
#include "state/fleet_settings.hpp"

#include <map>
#include <string>

namespace acaciaslip::protocol {

/// One service's keys and values, a template's parameters filled in.
struct service_description {
    located_value where; ///< the template's mapping of service keys
    std::map<std::string, located_value, std::less<>> values; ///< a null pointer stands for a parameter not yet given
};

/// Names of all keys of a service.
[[nodiscard]] std::span<const std::string_view> serviceKeyNames();

/// Reads a service's settings; keys that are left out keep their defaults.
/// \details Takes "name" and "path_prefix" as required. Every wrong value is noted.
[[nodiscard]] state::service_settings readServiceSettings(
    const std::string& team, const service_description& description, issue_list& issues);

} // namespace acaciaslip::protocol
