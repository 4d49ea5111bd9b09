#pragma once

#include "coordination/gateway/node.hpp"
#include "coordination/memory_budget.hpp"

#include <string>

#include <nlohmann/json.hpp>

namespace acaciaslip::protocol {

/// Returns the state that a gateway node's decisions depend on as JSON for operators.
/// \param now time to which ages are relative
[[nodiscard]] nlohmann::json gatewayToJson(const coordination::gateway::gateway_node& node, state::time_point now);

/// Writes that state and the memory for messages as one line of text. Names received from peers may be any bytes; those
/// that are not UTF-8 are replaced.
[[nodiscard]] std::string writeGatewayDump(
    const coordination::gateway::gateway_node& node, const coordination::memory_budget& memory, state::time_point now);

} // namespace acaciaslip::protocol
