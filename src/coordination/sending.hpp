#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/request_table.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Whether an attempt is the only running one of its request, or a hedge sent in addition to it.
enum class attempt_role { primary, hedge };

/// Sends a request to a server with free capacity.
/// \details Nothing is sent after the deadline, nor while the node's state is stale after a process pause.
/// \return false when no server can accept the request now; nothing has been changed in that case
[[nodiscard]] bool trySend(node& self, state::request& request, attempt_role role, state::time_point now,
    random_generator& random, effect_list& effects);

/// Whether any server of a service is eligible for new requests, regardless of its load.
[[nodiscard]] bool hasEligibleServer(const node& self, state::service_index service) noexcept;

} // namespace acaciaslip::coordination
