#pragma once

#include "state/gateway/peer_heartbeat.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaslip::protocol::gateway_codec {

/// Packs known peers into seven bytes each; see `packedPeers` in gateway_peer.thrift.
/// \param dataCentres names that the packed peers refer to; missing ones are appended
[[nodiscard]] std::string packPeers(
    const std::vector<state::gateway::known_peer>& peers, std::vector<std::string>& dataCentres);

/// Appends the peers that `packPeers` has packed.
/// \throws range_error if a peer refers to no data centre, or the bytes end early
void unpackPeers(std::string_view packed, const std::vector<std::string>& dataCentres,
    std::vector<state::gateway::known_peer>& peers);

/// Converts the encoded fields of one peer.
/// \param ip in host byte order
/// \param dataCentre index in `dataCentres`
/// \param age in tenths of a second
/// \throws range_error if a number is out of range
[[nodiscard]] state::gateway::known_peer makePeer(
    std::uint32_t ip, std::int8_t dataCentre, std::int32_t age, const std::vector<std::string>& dataCentres);

} // namespace acaciaslip::protocol::gateway_codec
