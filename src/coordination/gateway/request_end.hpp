#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// What is known about whether a request has run while it has no answer.
[[nodiscard]] state::verdict verdictWithoutAnswer(const state::gateway::pending_request& request) noexcept;

/// Gives the caller the answer of an attempt and forgets the request.
void endWithAnswer(gateway_node& self, state::gateway::pending_request& request,
    const state::gateway::kept_answer& answer, state::time_point now, effect_list& effects);

/// Refuses the request and forgets it. An answer that is kept goes before the refusal.
void endWithRefusal(gateway_node& self, state::gateway::pending_request& request, state::refusal_reason reason,
    state::time_point now, random_generator& random, effect_list& effects);

/// Forgets a request whose caller has gone.
void endUnheard(
    gateway_node& self, state::gateway::pending_request& request, state::time_point now, effect_list& effects);

/// Refuses a request that was never kept.
void refuseUnkept(gateway_node& self, state::request_id id, std::string_view callerRequestId,
    state::refusal_reason reason, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination::gateway
