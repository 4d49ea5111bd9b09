#pragma once

#include "state/gateway/server_state.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination::gateway {

/// When a request sent to a server now should be answered.
struct completion_estimate {
    state::duration time {}; ///< from now to the answer
    bool startsAtOnce = false; ///< a slot is free
};

/// Estimates from a server's fresh load report, what this node has sent since, and what it has seen of the server.
///
/// Pattern: noisy neighbour. A server's machine slows down by a factor for tenths of a second, so a report is good
/// only while it is fresh; older ones count for less, towards the mean.
/// \param typicalWork how long the service's requests take on an undisturbed server
[[nodiscard]] completion_estimate estimateCompletion(
    const state::gateway::server_state& server, state::duration typicalWork, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
