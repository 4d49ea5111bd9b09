#pragma once

#include "protocol/generated/gateway_peer_types.h"
#include "state/gateway/published_fleet.hpp"

namespace acaciaslip::protocol::gateway_codec {

/// Converts changes of the published fleet to their message.
[[nodiscard]] gateway_wire::fleet_delta toWire(const state::gateway::fleet_delta& delta);

/// \throws range_error if a number is out of range
[[nodiscard]] state::gateway::fleet_delta fromWire(const gateway_wire::fleet_delta& wireStruct);

} // namespace acaciaslip::protocol::gateway_codec
