#pragma once

#include "protocol/settings_schema.hpp"
#include "state/fleet_settings.hpp"

#include <vector>

namespace acaciaslip::protocol {

/// Reads and checks the platform's list of hosts.
/// \details A server of a team or service that is not known is no error: the list lags behind the teams' values and
/// runs ahead of them, and one host that nobody can use yet must not keep every other change of the list from coming
/// into force. Such a server takes no work until its service is known.
[[nodiscard]] std::vector<state::host_record> readHosts(const located_value& root, issue_list& issues);

} // namespace acaciaslip::protocol
