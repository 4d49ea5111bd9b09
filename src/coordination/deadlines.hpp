#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/request_ledger.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Puts a request at its place among those that become due: its deadline, the end of its wait, its hedge.
/// \details To be called after any of these has changed.
void scheduleRequest(state::request_ledger& ledger, state::request& request, state::time_point now);

/// Takes a request out of those that become due.
void unscheduleRequest(state::request_ledger& ledger, const state::request& request);

/// The earliest time at which a request needs attention though nothing happens to it.
/// \return nothing when no request is in progress
[[nodiscard]] std::optional<state::time_point> nextWakeUp(const state::request_ledger& ledger) noexcept;

} // namespace acaciaslip::coordination
