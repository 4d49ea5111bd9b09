#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_ledger.hpp"
#include "state/service_activity.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

namespace acaciaslip::coordination {

/// The most attempts that one request may have, hedges counted.
inline constexpr std::uint32_t maxAttempts = 4;

/// What an attempt after this outcome takes from the retry budget.
/// \details A retry after an attempt that may have run repeats work: a whole token. A shed answer and a failed connect
/// cost a server little, but must not multiply under overload: a part of a token. Nothing has left this node after
/// no_connection and expired: free, up to `maxAttempts`.
///
/// Each node draws on a share of the requests that it receives, so one level of calls adds at most that share. Levels
/// do not multiply it: a server's own answer, whatever its status, is never retried, so a refusal at a deep level is
/// retried only there, and an attempt that used up the deadline leaves no time to retry at any level, since each
/// level passes on what remains of it.
[[nodiscard]] double retryCost(state::attempt_outcome outcome) noexcept;

/// Adds to a service's retry budget what one request that arrives brings.
/// \param share retries as a share of requests
void fillRetryBudget(state::service_activity& activity, double share, state::time_point now) noexcept;

/// Whether a request may be sent again at all: it has not run, or may run twice; there is time; it has attempts left.
[[nodiscard]] bool mayTryAgain(const state::request& request, state::time_point now) noexcept;

/// After an attempt has failed and no other runs: tries again, waits for a server, or refuses.
void retryOrRefuse(node& self, state::request& request, state::attempt_outcome outcome, state::time_point now,
    random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
