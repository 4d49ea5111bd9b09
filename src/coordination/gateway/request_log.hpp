#pragma once

#include "coordination/gateway/completion_estimate.hpp"
#include "coordination/gateway/node.hpp"

#include <string_view>

namespace acaciaslip::coordination::gateway {

/// Log lines that trace one request: each decision with its inputs and their age or version. All of them contain the
/// caller's request id.

/// Formats a digest as 32 hexadecimal digits.
[[nodiscard]] std::string describeDigest(const state::gateway::request_digest& digest);

/// A request is sent to a server, with the load report that led to the choice.
[[nodiscard]] log_event describeSend(const gateway_node& self, const state::gateway::pending_request& request,
    const state::host_id& server, const completion_estimate& estimate, state::gateway::send_reason reason,
    state::time_point now);

/// An attempt has finished.
[[nodiscard]] log_event describeAttempt(const state::gateway::pending_request& request,
    const state::gateway::in_flight_attempt& attempt, const attempt_finished& finished, state::time_point now);

/// No server is good enough, or none has answered; servers will be probed again later.
[[nodiscard]] log_event describeProbePause(
    const state::gateway::pending_request& request, std::string_view why, state::duration best, state::time_point now);

/// The retry budget denies a retry or hedge.
[[nodiscard]] log_event describeRetryDenied(const gateway_node& self, const state::gateway::pending_request& request);

/// A request is sent although its estimate exceeds its deadline; see `service_time_trials.hpp`.
[[nodiscard]] log_event describeServiceTimeTrial(const gateway_node& self,
    const state::gateway::pending_request& request, const state::gateway::service_time_trials& trials,
    state::time_point now);

/// Appends the request's class, its priority and the slots per server that were kept for more urgent classes in its
/// latest round. Appends nothing if its service has no priorities.
void appendClass(const gateway_node& self, const state::gateway::pending_request& request, log_event& line);

/// The request has ended.
[[nodiscard]] log_event describeEnd(
    const state::gateway::pending_request& request, std::string_view outcome, state::time_point now);

} // namespace acaciaslip::coordination::gateway
