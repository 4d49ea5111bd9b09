#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <functional>

namespace acaciaslip::coordination {

/// Whether excluding one more server keeps its service within the panic threshold.
/// \details At most half of the servers that are listed as live and are not in an evacuated data centre may be excluded
/// at a time on the basis of measurements, since these may be wrong for all servers at once.
/// \param isExcluded whether a server is already excluded
[[nodiscard]] bool isWithinPanicThreshold(const node& self, const state::server_record& server,
    const std::function<bool(const state::server_record&)>& isExcluded);

/// Whether a server's report that it is draining may be accepted. The same panic threshold applies.
[[nodiscard]] bool mayAcceptDrainReport(const node& self, const state::server_record& server);

/// Records a failed attempt and ejects the server for a bounded time after too many consecutive failures.
/// \details The ejection time doubles with each ejection since the server was last warm, up to a maximum. It has jitter
/// derived from the host and the server, so that nodes do not resume sending to the server all at once. The limit is
/// reset, so the server is cold after the ejection.
void recordFailure(
    node& self, state::server_record& server, bool connectFailed, state::time_point now, effect_list& effects);

/// Ends an ejection whose time has passed.
void endExpiredEjection(node& self, state::server_record& server, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
