#pragma once

#include "state/gateway/peer_heartbeat.hpp"

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// Maximum size of a datagram between gateway nodes, in bytes. It fits into one frame of any network without
/// fragmentation.
inline constexpr std::size_t maxHeartbeatBytes = 1400;

/// Encodes a heartbeat.
/// \return the datagram, or an error when it exceeds maxHeartbeatBytes
[[nodiscard]] absl::StatusOr<std::string> encodeHeartbeat(const state::gateway::peer_heartbeat& heartbeat);

/// Decodes a heartbeat. Decoding is strict because any sender can reach the port.
/// \return the heartbeat, or an error when the datagram is malformed or a number is out of range
[[nodiscard]] absl::StatusOr<state::gateway::peer_heartbeat> decodeHeartbeat(std::string_view bytes);

/// Encodes a delta for a peer that requested it over TCP.
[[nodiscard]] absl::StatusOr<std::string> encodeDelta(const state::gateway::fleet_delta& delta);

/// Decodes a delta.
/// \return the delta, or an error when it is malformed or a number is out of range
[[nodiscard]] absl::StatusOr<state::gateway::fleet_delta> decodeDelta(std::string_view bytes);

} // namespace acaciaslip::protocol
