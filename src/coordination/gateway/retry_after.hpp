#pragma once

#include "coordination/gateway/node.hpp"

#include <string_view>

namespace acaciaslip::coordination::gateway {

/// Returns the delay after which a refused caller should retry: as soon as it may be served, with jitter so that
/// callers do not return simultaneously.
/// \param service empty when no route matched the request
[[nodiscard]] state::duration estimateRetryAfter(const gateway_node& self, std::string_view service,
    state::refusal_reason reason, state::time_point now, random_generator& random);

/// Typical service time of a service's requests on a server without interference.
[[nodiscard]] state::duration typicalServiceTime(
    const gateway_node& self, std::string_view service, state::duration objective) noexcept;

} // namespace acaciaslip::coordination::gateway
