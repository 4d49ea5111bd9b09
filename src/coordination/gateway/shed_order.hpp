#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: in a peak of 7 s the servers of a service cannot serve all requests, and every refused caller that returns
/// within 100 ms is refused again.

/// Time over which the refused callers of a request's class should return, so that the servers can serve them in
/// addition to new ones: the time that they need, at their present rate, for the requests refused lately.
/// \return empty if no class of the request's service is more urgent
[[nodiscard]] std::optional<state::duration> returnSpread(
    const gateway_node& self, const state::gateway::pending_request& request) noexcept;

} // namespace acaciaslip::coordination::gateway
