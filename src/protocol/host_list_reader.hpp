#pragma once

#include "protocol/settings_schema.hpp"
#include "state/fleet_settings.hpp"

#include <vector>

namespace acaciaslip::protocol {

/// Reads and checks the platform's list of hosts.
/// \details A server of an unknown team or service is not an error: the list may be older or newer than the teams'
/// values, and one unusable host must not block all other changes of the list. Such a server receives no requests until
/// its service is known.
[[nodiscard]] std::vector<state::host_record> readHosts(const located_value& root, issue_list& issues);

} // namespace acaciaslip::protocol
