#pragma once

#include "coordination/gateway/node.hpp"

#include <optional>
#include <string_view>

namespace acaciaslip::coordination::gateway {

/// Pattern: servers that ask for a pause under load. A server that refuses with 503 may name a time in which it wants
/// nothing from this host (Retry-After). Until then it is neither probed nor sent a request, whatever other servers do.
/// The time binds this host alone: a server that wants nothing from any host says so to each.

/// Records for how long a server asks this host to send it nothing.
/// \param from kind of response, for the log
void recordBackOff(gateway_node& self, const state::host_id& server, const state::gateway::back_off_report& backOff,
    std::string_view from, state::time_point now, effect_list& effects);

/// Whether a server has asked this host to send it nothing now.
[[nodiscard]] bool isBackingOff(const state::gateway::server_state& server, state::time_point now) noexcept;

/// Time until the first back-off of a service's servers ends, if all reachable ones back off.
/// \return empty if another server may be sent one, or no server is registered
[[nodiscard]] std::optional<state::duration> timeUntilBackOffEnds(
    const gateway_node& self, std::string_view service, state::time_point now);

} // namespace acaciaslip::coordination::gateway
