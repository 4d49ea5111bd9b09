#pragma once

#include "app/operators_client.hpp"

#include <string>
#include <vector>

namespace acaciaslip::app {

/// Whether every node that answered has the same revision of every value in force.
[[nodiscard]] bool doNodesAgree(const std::vector<node_answer>& answers);

/// Writes the state of the fleet for a person: what needs attention first.
[[nodiscard]] std::string writeStatus(const std::vector<node_answer>& answers);

/// Describes the state of the fleet for a program.
[[nodiscard]] nlohmann::json describeStatus(const std::vector<node_answer>& answers);

} // namespace acaciaslip::app
