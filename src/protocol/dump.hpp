#pragma once

#include "protocol/node_snapshot.hpp"

#include <nlohmann/json.hpp>

namespace acaciaslip::protocol {

/// Writes a snapshot as JSON; ages are relative to the time of the copy.
[[nodiscard]] nlohmann::json snapshotToJson(const node_snapshot& snapshot);

/// Copies a node's state and writes it as JSON.
/// \param now time to which ages are relative
[[nodiscard]] nlohmann::json nodeToJson(const coordination::node& node, state::time_point now);

} // namespace acaciaslip::protocol
