#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_ledger.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Whether an attempt is the only one of its request or a second beside it.
enum class attempt_role { only, hedge };

/// Sends a request to a server that has room.
/// \details Nothing is sent past the deadline, nor while the picture of the fleet is suspect.
/// \return false when no server can take it now; nothing has changed then
[[nodiscard]] bool trySend(node& self, state::request& request, attempt_role role, state::time_point now,
    random_generator& random, effect_list& effects);

/// Whether any server of a service may be given work, full or not.
[[nodiscard]] bool hasCandidate(const node& self, state::service_index service) noexcept;

} // namespace acaciaslip::coordination
