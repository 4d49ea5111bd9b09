#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Returns the delay after which a refused caller should retry: as soon as it may be served, with jitter so that
/// callers do not return simultaneously.
/// \param request null when no route matched the request
[[nodiscard]] state::duration estimateRetryAfter(const gateway_node& self,
    const state::gateway::pending_request* request, state::refusal_reason reason, state::time_point now,
    random_generator& random);

} // namespace acaciaslip::coordination::gateway
