#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_table.hpp"
#include "state/service_activity.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

namespace acaciaslip::coordination {

/// Maximum number of attempts per request, including hedges.
inline constexpr std::uint32_t maxAttempts = 4;

/// The cost in retry budget tokens of a retry after this outcome.
/// \details A retry after an attempt that may have run can repeat work and costs a full token. A shed response or a
/// failed connect costs the server little, but retries after them must not multiply under overload, so they cost a
/// fraction of a token. After no_connection and expired nothing has been sent, so the retry is free, up to
/// `maxAttempts`.
///
/// The retry budget of each node is a share of the requests that it receives, so each level of a call chain adds at
/// most that share. The levels do not multiply: a response from a server, whatever its status, is never retried, so a
/// refusal at a deep level is retried only at that level. An attempt that used up the deadline leaves no time to retry
/// at any level, because each level passes on only the time that remains.
[[nodiscard]] double retryCost(state::attempt_outcome outcome) noexcept;

/// Refills a service's retry budget when a request arrives.
/// \param share maximum retries as a share of requests
void fillRetryBudget(state::service_activity& activity, double share, state::time_point now) noexcept;

/// Whether a request may be retried: it has not run or is idempotent, its deadline has not passed, and it has attempts
/// left.
[[nodiscard]] bool mayRetry(const state::request& request, state::time_point now) noexcept;

/// Retries, queues or refuses a request after an attempt has failed and no other attempt is running.
void retryOrRefuse(node& self, state::request& request, state::attempt_outcome outcome, state::time_point now,
    random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
