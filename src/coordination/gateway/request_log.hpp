#pragma once

#include "coordination/gateway/completion_estimate.hpp"
#include "coordination/gateway/node.hpp"

#include <string_view>

namespace acaciaslip::coordination::gateway {

/// Log lines that tell one request's way: each decision with the inputs that it rests on and their age or version. All
/// bear the caller's id of the request.

/// A request is sent to a server, because of what the server said of its load.
[[nodiscard]] log_event describeSend(const gateway_node& self, const state::gateway::pending_request& request,
    const state::host_id& server, const completion_estimate& estimate, state::gateway::asking_reason reason,
    state::time_point now);

/// An attempt ended.
[[nodiscard]] log_event describeAttempt(const state::gateway::pending_request& request,
    const state::gateway::running_attempt& attempt, const attempt_finished& finished, state::time_point now);

/// No server is good enough, or none has answered: servers are asked again later.
[[nodiscard]] log_event describeWait(
    const state::gateway::pending_request& request, std::string_view why, state::duration best, state::time_point now);

/// A repeat that would help is denied by the retry budget.
[[nodiscard]] log_event describeDenial(const gateway_node& self, const state::gateway::pending_request& request);

/// The request ended.
[[nodiscard]] log_event describeEnd(
    const state::gateway::pending_request& request, std::string_view outcome, state::time_point now);

} // namespace acaciaslip::coordination::gateway
