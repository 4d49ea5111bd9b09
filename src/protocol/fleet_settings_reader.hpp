#pragma once

#include "state/fleet_settings.hpp"
#include "state/identifiers.hpp"

#include <map>
#include <string>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// Reads and checks all published values together: templates expanded, hosts, data centres out.
/// \param bodies the values' texts by key; those that are missing count as empty
/// \return the settings, or every error at once with key, line and column
[[nodiscard]] absl::StatusOr<state::fleet_settings> readFleetSettings(
    const std::map<state::value_key, std::string>& bodies);

} // namespace acaciaslip::protocol
