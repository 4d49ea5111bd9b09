#pragma once

#include "coordination/gateway/node.hpp"

#include <string_view>

namespace acaciaslip::coordination::gateway {

/// Servers that refuse a request with 503 may name a time in which they want nothing from this host (Retry-After).

/// Records for how long a server asks this host to send it nothing.
/// \param from kind of response, for the log
void recordBackOff(gateway_node& self, const state::host_id& server, const state::gateway::back_off_report& backOff,
    std::string_view from, state::time_point now, effect_list& effects);

/// Whether a server has asked this host to send it nothing now.
[[nodiscard]] bool isBackingOff(const state::gateway::server_state& server, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
