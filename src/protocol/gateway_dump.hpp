#pragma once

#include "coordination/gateway/node.hpp"

#include <nlohmann/json.hpp>

namespace acaciaslip::protocol {

/// Writes the state that a gateway node's decisions depend on as JSON for operators.
/// \param now time to which ages are relative
[[nodiscard]] nlohmann::json gatewayToJson(const coordination::gateway::gateway_node& node, state::time_point now);

} // namespace acaciaslip::protocol
