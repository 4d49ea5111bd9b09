#pragma once

#include "protocol/generated/gateway_peer_types.h"
#include "state/gateway/published_fleet.hpp"

namespace acaciaslip::protocol::gateway_codec {

/// Converts a configuration to its message.
[[nodiscard]] gateway_wire::configuration toWire(const state::gateway::configuration& config);

/// \throws range_error if a number is out of range
[[nodiscard]] state::gateway::configuration fromWire(const gateway_wire::configuration& wireStruct);

/// Converts the changes between two configurations to their message.
[[nodiscard]] gateway_wire::configuration_changes toWire(const state::gateway::configuration_changes& changes);

/// \throws range_error if a number is out of range
[[nodiscard]] state::gateway::configuration_changes fromWire(const gateway_wire::configuration_changes& wireStruct);

} // namespace acaciaslip::protocol::gateway_codec
