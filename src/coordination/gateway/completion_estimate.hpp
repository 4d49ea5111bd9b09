#pragma once

#include "state/gateway/server_state.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination::gateway {

/// A server slows down when more than this share of its slots is in use.
inline constexpr double highUtilization = 0.8;

/// Use of a server's slots, from its latest load report and the requests that this node has sent since.
struct slot_use {
    double slots = 1;
    double inFlight = 0; ///< requests on the server, running or not
    double queued = 0;
};

[[nodiscard]] slot_use countSlotUse(const state::gateway::server_state& server) noexcept;

/// Estimated completion of a request that is sent to a server now.
struct completion_estimate {
    state::duration time {}; ///< from now to the response
    bool startsImmediately = false; ///< a slot is free
    state::duration timeWithoutHistory {}; ///< like `time`, without slowdown and failures observed by this node
};

/// Estimates the completion time from a server's latest load report, the requests that this node has sent since, and
/// the server's observed slowdown and failures.
///
/// Interference on a server's machine slows it down by some factor for tenths of a second, so a report is accurate only
/// while it is fresh. Older observations are weighted less and tend towards the mean.
/// \param typicalServiceTime service time of the service's requests on a server without interference
[[nodiscard]] completion_estimate estimateCompletion(
    const state::gateway::server_state& server, state::duration typicalServiceTime, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
