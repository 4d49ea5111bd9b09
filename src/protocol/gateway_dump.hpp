#pragma once

#include "coordination/gateway/node.hpp"

#include <nlohmann/json.hpp>

namespace acaciaslip::protocol {

/// Describes everything that a gateway node's decisions rest on, with ages, for operators.
[[nodiscard]] nlohmann::json describeGateway(const coordination::gateway::gateway_node& node, state::time_point now);

} // namespace acaciaslip::protocol
