#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/request_table.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Updates the time at which a request becomes due: the earliest of its deadline, the end of its wait, the end of its
/// backoff and its hedge.
/// \details Must be called after any of these has changed.
void scheduleRequest(state::request_table& table, state::request& request, state::time_point now);

/// Removes a request from the schedule of due requests.
void unscheduleRequest(state::request_table& table, const state::request& request);

/// The earliest time at which a request becomes due.
/// \return nothing when no request is in progress
[[nodiscard]] std::optional<state::time_point> nextWakeUp(const state::request_table& table) noexcept;

} // namespace acaciaslip::coordination
