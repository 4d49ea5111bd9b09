#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/peer_table.hpp"
#include "state/time.hpp"

#include <cstddef>

namespace acaciaslip::coordination {

/// Limit on a node's control traffic, sent and received, in bytes per second including IP and UDP headers.
inline constexpr double controlBytesPerSecond = 17.0 * 1024;
/// Limit on sent bytes per second. It is half of the total because all nodes together receive what they send.
inline constexpr double sentBytesPerSecond = controlBytesPerSecond / 2;
/// Capacity of the token bucket in bytes. Burst and refill together stay within the limit for one second.
inline constexpr double sentBurstBytes = 1500;
/// Bytes per second left unused, because received traffic is not spread evenly within a second.
inline constexpr double receiveHeadroomBytesPerSecond = 1200;
/// Refill rate of the token bucket in bytes per second.
inline constexpr double sentRefillBytesPerSecond = sentBytesPerSecond - sentBurstBytes - receiveHeadroomBytesPerSecond;
/// Bytes in the token bucket that are reserved for urgent messages.
inline constexpr double urgentReserveBytes = sentBurstBytes / 2;
/// Bytes per second for all heartbeats of a node.
inline constexpr double heartbeatBytesPerSecond = 5800;
/// Minimum heartbeat bytes per second for peers in other data centres; like the two values below, it is the rate for
/// the case that all peers are in other data centres.
inline constexpr double minRemoteBytesPerSecond = 2000;
/// Maximum heartbeat bytes per second for peers in other data centres, whatever the number of peers.
inline constexpr double maxRemoteBytesPerSecond = 3800;
/// Bytes per second that each peer adds between that minimum and maximum: one short heartbeat per second.
inline constexpr double remoteBytesPerPeer = 100;

static_assert(heartbeatBytesPerSecond <= sentRefillBytesPerSecond);

/// Token bucket for sent bytes.
struct byte_bucket {
    double tokens = sentBurstBytes;
    state::time_point filledAt;
};

/// Priority class of a datagram.
enum class send_class {
    heartbeat, ///< leaves `urgentReserveBytes` in the bucket
    urgent, ///< may use the whole bucket
};

/// Numbers of peers that share the heartbeat bytes.
struct peer_counts {
    std::size_t local = 0; ///< in this node's data centre
    std::size_t all = 0;
};

/// Counts the peers to which this node sends heartbeats.
[[nodiscard]] peer_counts countPeers(const node& self) noexcept;

/// Takes the bytes of a datagram from the bucket.
/// \param payload payload size in bytes, without headers
/// \return false if the bucket has too few tokens; none are taken then
[[nodiscard]] bool takeBytes(
    byte_bucket& bucket, std::size_t payload, send_class sendClass, state::time_point now) noexcept;

/// The interval until the next heartbeat to a peer in this node's data centre, such that the byte budget is kept.
/// \details Every node divides its budget by the number of these peers, so the bytes that a node receives from all of
/// them stay within the same budget.
/// \param payload payload size of the last heartbeat in bytes, without headers
[[nodiscard]] state::duration localHeartbeatInterval(std::size_t payload, const peer_counts& counts) noexcept;

/// The interval until the next heartbeat to any peer in another data centre; these peers are served round robin.
/// \details Every node divides its budget by the number of all peers, not only of those in other data centres. A node
/// in a small data centre has many such peers, and the bytes that it receives from all of them still stay within the
/// budget.
/// \param payload payload size of the last heartbeat in bytes, without headers
[[nodiscard]] state::duration remoteHeartbeatInterval(std::size_t payload, const peer_counts& counts) noexcept;

/// The duration of one round of heartbeats to all peers in other data centres.
/// \param payload payload size of the last heartbeat in bytes, without headers
[[nodiscard]] state::duration remoteRoundDuration(std::size_t payload, const peer_counts& counts) noexcept;

/// The maximum payload in bytes with which each peer in another data centre gets one heartbeat per second.
[[nodiscard]] std::size_t remotePayloadLimit(const peer_counts& counts) noexcept;

} // namespace acaciaslip::coordination
