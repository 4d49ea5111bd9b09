#pragma once

#include "app/operator_client.hpp"

#include <string>
#include <vector>

namespace acaciaslip::app {

/// Returns whether all nodes that answered have the same revision of every value in force.
[[nodiscard]] bool doNodesAgree(const std::vector<node_answer>& answers);

/// Formats the state of the fleet as text; problems that need attention come first.
[[nodiscard]] std::string formatStatus(const std::vector<node_answer>& answers);

/// Returns the state of the fleet as JSON.
[[nodiscard]] nlohmann::json describeStatus(const std::vector<node_answer>& answers);

} // namespace acaciaslip::app
