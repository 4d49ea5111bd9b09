#pragma once

#include "coordination/node.hpp"

#include <nlohmann/json.hpp>

namespace acaciaslip::protocol {

/// Describes everything that a node's decisions rest on.
/// \param now ages are counted up to this time
[[nodiscard]] nlohmann::json describeNode(const coordination::node& node, state::time_point now);

} // namespace acaciaslip::protocol
