#pragma once

#include "state/gateway/peer_heartbeat.hpp"

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// The largest datagram between gateway nodes, in bytes: it fits a frame of every network without fragments.
inline constexpr std::size_t maxHeartbeatBytes = 1400;

/// Writes a heartbeat.
/// \return the datagram; an error when it is too large
[[nodiscard]] absl::StatusOr<std::string> encodeHeartbeat(const state::gateway::peer_heartbeat& heartbeat);

/// Reads a heartbeat; strict, since anybody may send to the port.
[[nodiscard]] absl::StatusOr<state::gateway::peer_heartbeat> decodeHeartbeat(std::string_view bytes);

/// Writes a delta for a peer that asked over TCP.
[[nodiscard]] absl::StatusOr<std::string> encodeDelta(const state::gateway::fleet_delta& delta);

/// Reads a delta.
[[nodiscard]] absl::StatusOr<state::gateway::fleet_delta> decodeDelta(std::string_view bytes);

} // namespace acaciaslip::protocol
