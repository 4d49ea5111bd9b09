#pragma once

#include "protocol/node_snapshot.hpp"

#include <nlohmann/json.hpp>

namespace acaciaslip::protocol {

/// Describes everything that a node's decisions rest on; ages are counted up to the time of the copy.
[[nodiscard]] nlohmann::json describeSnapshot(const node_snapshot& snapshot);

/// Copies a node and describes it.
/// \param now ages are counted up to this time
[[nodiscard]] nlohmann::json describeNode(const coordination::node& node, state::time_point now);

} // namespace acaciaslip::protocol
