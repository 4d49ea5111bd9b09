#pragma once

#include "protocol/generated/gateway_peer_types.h"
#include "state/gateway/peer_heartbeat.hpp"

/// Parts of heartbeats. Each `fromWire` throws range_error if a number is out of range.
namespace acaciaslip::protocol::gateway_codec {

[[nodiscard]] gateway_wire::limit_notice toWire(const state::gateway::limit_notice& notice);
[[nodiscard]] state::gateway::limit_notice fromWire(const gateway_wire::limit_notice& wireStruct);

[[nodiscard]] gateway_wire::crash_report toWire(const state::gateway::crash_report& report);
[[nodiscard]] state::gateway::crash_report fromWire(const gateway_wire::crash_report& wireStruct);

[[nodiscard]] gateway_wire::class_demand toWire(const state::gateway::class_demand& demand);
[[nodiscard]] state::gateway::class_demand fromWire(const gateway_wire::class_demand& wireStruct);

[[nodiscard]] gateway_wire::allowance_report toWire(const state::gateway::allowance_report& report);
[[nodiscard]] state::gateway::allowance_report fromWire(const gateway_wire::allowance_report& wireStruct);

[[nodiscard]] gateway_wire::allowance_notice toWire(const state::gateway::allowance_notice& notice);
[[nodiscard]] state::gateway::allowance_notice fromWire(const gateway_wire::allowance_notice& wireStruct);

} // namespace acaciaslip::protocol::gateway_codec
