#pragma once

#include "coordination/gateway/node.hpp"

#include <optional>
#include <string_view>

namespace acaciaslip::coordination::gateway {

/// Pattern: a service whose servers have all ended, for example by one request. Its callers cannot be served until a
/// server starts again, so they are refused without further rounds of probes.

/// How long all servers of a service have been down, as far as probes have just shown.
/// \return empty if one of them may be up
[[nodiscard]] std::optional<state::duration> outageTime(
    const gateway_node& self, std::string_view service, state::time_point now);

} // namespace acaciaslip::coordination::gateway
