#pragma once

#include "coordination/gateway/node.hpp"

#include <string_view>

namespace acaciaslip::coordination::gateway {

/// Servers that are shutting down may say so in their answers, before the store does or while it cannot be reached.
/// Such a server receives no request while another can run it. If there is none, it is used for part of the time for
/// which it still serves. Only a new start of the server ends this.

/// Records that a response of a server says that it is shutting down.
/// \param from kind of response, for the log
void recordLeaving(gateway_node& self, const state::host_id& server, std::string_view from, state::time_point now,
    effect_list& effects);

/// Whether a server that is not leaving can be expected to run the request.
[[nodiscard]] bool hasStayingServer(
    const gateway_node& self, const state::gateway::pending_request& request, state::time_point now);

} // namespace acaciaslip::coordination::gateway
