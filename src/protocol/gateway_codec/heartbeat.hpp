#pragma once

#include "protocol/generated/gateway_peer_types.h"
#include "state/gateway/peer_heartbeat.hpp"

namespace acaciaslip::protocol::gateway_codec {

/// Converts a heartbeat to its message.
[[nodiscard]] gateway_wire::peer_heartbeat toWire(const state::gateway::peer_heartbeat& heartbeat);

/// \throws range_error if a number is out of range
[[nodiscard]] state::gateway::peer_heartbeat fromWire(const gateway_wire::peer_heartbeat& wireStruct);

} // namespace acaciaslip::protocol::gateway_codec
