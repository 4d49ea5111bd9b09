#include "protocol/gateway_peer_codec.hpp"

#include "protocol/gateway_codec/fleet.hpp"
#include "protocol/gateway_codec/heartbeat.hpp"
#include "protocol/gateway_codec/numbers.hpp"
#include "protocol/thrift_frame.hpp"

namespace acaciaslip::protocol {

namespace {

namespace wire = gateway_wire;
namespace fleet = state::gateway;

constexpr char version = 1;
constexpr std::size_t maxDeltaBytes = 33554432; ///< about ten thousand servers and routes
constexpr int maxEntries = 65536; ///< per list

template <typename Result, typename Struct>
absl::StatusOr<Result> decodeChecked(std::string_view bytes, std::size_t limit)
{
    const auto wireStruct = decodeThrift<Struct>(bytes, version, limit, maxEntries);
    if (!wireStruct.ok())
        return wireStruct.status();
    try {
        return gateway_codec::fromWire(*wireStruct);
    } catch (const gateway_codec::range_error& error) {
        return absl::OutOfRangeError(error.what());
    }
}

} // namespace

absl::StatusOr<std::string> encodeHeartbeat(const fleet::peer_heartbeat& heartbeat)
{
    return encodeThrift(gateway_codec::toWire(heartbeat), version, maxHeartbeatBytes);
}

absl::StatusOr<fleet::peer_heartbeat> decodeHeartbeat(std::string_view bytes)
{
    return decodeChecked<fleet::peer_heartbeat, wire::peer_heartbeat>(bytes, maxHeartbeatBytes);
}

absl::StatusOr<std::string> encodeDelta(const fleet::fleet_delta& delta)
{
    return encodeThrift(gateway_codec::toWire(delta), version, maxDeltaBytes);
}

absl::StatusOr<fleet::fleet_delta> decodeDelta(std::string_view bytes)
{
    return decodeChecked<fleet::fleet_delta, wire::fleet_delta>(bytes, maxDeltaBytes);
}

} // namespace acaciaslip::protocol
