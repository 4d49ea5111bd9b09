#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_table.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// The verdict on a request that ends without a server's response.
/// \return not_run only when every attempt is proven not to have run; an attempt without an outcome may have run
[[nodiscard]] state::verdict verdictWithoutAnswer(const state::request& request) noexcept;

/// Sends a server's response to the caller, cancels the other attempts and removes the request.
void endWithAnswer(node& self, state::request& request, const state::host_id& server,
    const state::payload_pointer& answer, effect_list& effects);

/// Refuses a request with its verdict, cancels its running attempts and removes it.
/// \param retryAfter how long the caller should wait before it retries; zero omits the hint
void endWithRefusal(node& self, state::request& request, state::refusal_reason reason, state::duration retryAfter,
    effect_list& effects);

/// Cancels the running attempts of a request whose caller has disconnected, and removes the request.
void endAbandonedRequest(node& self, state::request& request, effect_list& effects);

/// Refuses a request that was not admitted: no attempt was sent and no state is stored.
void refuseUnadmitted(
    node& self, state::request_id id, state::refusal_reason reason, state::duration retryAfter, effect_list& effects);

} // namespace acaciaslip::coordination
