#pragma once

#include "coordination/gateway/node.hpp"
#include "coordination/gateway/team_admission.hpp"

namespace acaciaslip::coordination::gateway {

/// Whether a request without a response may have run.
[[nodiscard]] state::verdict verdictWithoutAnswer(const state::gateway::pending_request& request) noexcept;

/// Sends the response of an attempt to the caller and removes the request.
void endWithAnswer(gateway_node& self, state::gateway::pending_request& request,
    const state::gateway::fallback_answer& answer, state::time_point now, effect_list& effects);

/// Refuses the request and removes it. If a fallback response is kept, it is sent instead of the refusal.
void endWithRefusal(gateway_node& self, state::gateway::pending_request& request, state::refusal_reason reason,
    state::time_point now, random_generator& random, effect_list& effects);

/// Cancels and removes a request whose caller has disconnected.
void endAbandonedRequest(
    gateway_node& self, state::gateway::pending_request& request, state::time_point now, effect_list& effects);

/// Refuses a request that was not admitted.
/// \param inputs what the refusal was decided from, as fields of the request's log line
void refuseUnadmitted(gateway_node& self, state::request_id id, std::string_view callerRequestId,
    state::refusal_reason reason, state::time_point now, random_generator& random, effect_list& effects,
    std::vector<std::pair<std::string, std::string>> inputs = {});

/// Refuses a request that exceeds its team's allowance.
void refuseOverAllowance(gateway_node& self, const request_arrived& arrived, std::string_view team,
    const team_admission& decided, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
