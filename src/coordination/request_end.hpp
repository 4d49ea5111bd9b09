#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_ledger.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// What is known of a request that ends without an answer.
/// \return not_run only when every attempt is proven not to have run; one without an outcome may have
[[nodiscard]] state::verdict verdictWithoutAnswer(const state::request& request) noexcept;

/// Gives the caller a server's answer, cancels what else runs, and forgets the request.
void endWithAnswer(node& self, state::request& request, const state::host_id& server,
    const state::payload_pointer& answer, effect_list& effects);

/// Refuses with the truthful verdict, cancels what runs, and forgets the request.
/// \param retryAfter when the caller may try anew; zero for no hint
void endWithRefusal(node& self, state::request& request, state::refusal_reason reason, state::duration retryAfter,
    effect_list& effects);

/// Cancels what runs for a request whose caller has gone, and forgets it.
void endUnheard(node& self, state::request& request, effect_list& effects);

/// Refuses a request that was never taken in: nothing was sent, nothing is kept.
void refuseUnkept(
    node& self, state::request_id id, state::refusal_reason reason, state::duration retryAfter, effect_list& effects);

} // namespace acaciaslip::coordination
