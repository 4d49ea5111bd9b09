#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/peer_table.hpp"
#include "state/time.hpp"

#include <cstddef>

namespace acaciaslip::coordination {

/// Bytes a second that a node may send and receive for control, with IP and UDP headers.
inline constexpr double controlBytesPerSecond = 17.0 * 1024;
/// Bytes a second that a node may send: half of them, since what all send is what all receive.
inline constexpr double sentBytesPerSecond = controlBytesPerSecond / 2;
/// The most that may be sent at once, in bytes; burst and refill together stay within one second's bytes.
inline constexpr double sentBurstBytes = 1500;
/// Bytes a second kept back, since what a node receives is not spread evenly within a second.
inline constexpr double unevenBytesPerSecond = 1200;
/// Bytes a second that the bucket refills with.
inline constexpr double sentRefillBytes = sentBytesPerSecond - sentBurstBytes - unevenBytesPerSecond;
/// What heartbeats leave in the bucket for urgent messages, in bytes.
inline constexpr double urgentReserveBytes = sentBurstBytes / 2;
/// Bytes a second for all heartbeats of a node.
inline constexpr double heartbeatBytesPerSecond = 5800;
/// The least of them for all peers together if all were in other data centres.
inline constexpr double leastFarBytesPerSecond = 2000;
/// The most of them for those, however many peers there are.
inline constexpr double mostFarBytesPerSecond = 3800;
/// What each peer adds to them, up to the most: a short heartbeat a second.
inline constexpr double farBytesForPeer = 100;

static_assert(heartbeatBytesPerSecond <= sentRefillBytes);

/// The bytes that a node may still send.
struct byte_bucket {
    double tokens = sentBurstBytes;
    state::time_point filledAt;
};

/// How urgent a datagram is.
enum class send_class {
    heartbeat, ///< leaves room for the urgent
    urgent, ///< may take all that is left
};

/// How many peers share the bytes for heartbeats.
struct peer_counts {
    std::size_t near = 0; ///< in our data centre
    std::size_t all = 0;
};

/// Counts the peers that this node tells.
[[nodiscard]] peer_counts countPeers(const node& self) noexcept;

/// Takes a datagram's bytes from the bucket.
/// \param payload bytes without headers
/// \return false, and nothing taken, when there is no room now
[[nodiscard]] bool takeBytes(
    byte_bucket& bucket, std::size_t payload, send_class wanted, state::time_point now) noexcept;

/// The pause until a near peer's next heartbeat that keeps its share of the bytes.
/// \details Every node divides by the number of peers, so that what one receives from all stays within the same sum.
/// \param payload bytes of the last heartbeat, without headers
[[nodiscard]] state::duration nearPause(std::size_t payload, const peer_counts& counts) noexcept;

/// The pause until the next far peer's heartbeat; far peers take turns.
/// \details A node among few of a data centre has many far peers, which each divide by all peers, not by their far
/// ones alone: what one receives from all far peers together stays within the same sum.
/// \param payload bytes of the last heartbeat, without headers
[[nodiscard]] state::duration farPause(std::size_t payload, const peer_counts& counts) noexcept;

/// How long it takes until each far peer has had its turn.
[[nodiscard]] state::duration farRound(std::size_t payload, const peer_counts& counts) noexcept;

/// The longest payload with which each far peer has its turn once a second, in bytes.
[[nodiscard]] std::size_t farPayloadLimit(const peer_counts& counts) noexcept;

} // namespace acaciaslip::coordination
