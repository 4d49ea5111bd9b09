#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <functional>

namespace acaciaslip::coordination {

/// Whether a service can do without one more server: panic rule.
/// \details Never more than half of the servers that are listed live and not in a data centre taken out may be kept
/// from work at a time on the word of measurements, which may be wrong for all of them at once.
/// \param isKept whether a server is kept from work already
[[nodiscard]] bool canSpare(const node& self, const state::server_record& server,
    const std::function<bool(const state::server_record&)>& isKept);

/// Whether a server may be believed when it says that it drains: the same panic rule.
[[nodiscard]] bool mayBelieveDraining(const node& self, const state::server_record& server);

/// Learns from an attempt that failed: a row of failures ejects the server for a bounded time.
/// \details The time doubles with each ejection since the server was last warm, up to a bound, with jitter by the
/// host and server so that nodes do not return to it together. The limit collapses, so it returns cold.
void noteFailure(
    node& self, state::server_record& server, bool connectFailed, state::time_point now, effect_list& effects);

/// Ends an ejection that is over.
void reviewEjection(node& self, state::server_record& server, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
