#pragma once

#include "protocol/settings_schema.hpp"
#include "state/fleet_settings.hpp"

#include <map>
#include <string>

namespace acaciaslip::protocol {

/// Keys and values of one service after the template's parameters have been substituted.
struct service_description {
    located_value position; ///< the template's mapping of service keys
    std::map<std::string, located_value, std::less<>>
        values; ///< by key; a null value pointer marks an unbound parameter
};

/// Names of all keys of a service.
[[nodiscard]] std::span<const std::string_view> serviceKeyNames();

/// Reads a service's settings; omitted keys keep their defaults.
/// \details "name" and "path_prefix" are required. An issue is reported for every invalid value.
[[nodiscard]] state::service_settings readServiceSettings(
    const std::string& team, const service_description& description, issue_list& issues);

} // namespace acaciaslip::protocol
