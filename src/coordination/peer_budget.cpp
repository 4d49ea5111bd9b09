#include "coordination/peer_budget.hpp"

#include "coordination/message_size.hpp"
#include "coordination/node.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration minLocalHeartbeatInterval = std::chrono::milliseconds { 20 };
constexpr state::duration minRemoteRoundDuration = std::chrono::seconds { 1 };

/// Bytes per second for heartbeats to peers in other data centres; the rest is for peers in this data centre.
double remoteBytesPerSecond(const peer_counts& counts) noexcept
{
    return std::clamp(
        remoteBytesPerPeer * static_cast<double>(counts.all), minRemoteBytesPerSecond, maxRemoteBytesPerSecond);
}

state::duration toDuration(double seconds) noexcept
{
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double> { seconds });
}

} // namespace

peer_counts countPeers(const node& self) noexcept
{
    peer_counts counts { 0, self.peers.size() };
    for (const auto& [id, peer] : self.peers)
        counts.local += peer.sameDataCentre ? 1 : 0;
    return counts;
}

bool takeBytes(byte_bucket& bucket, std::size_t payload, send_class sendClass, state::time_point now) noexcept
{
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(sentBurstBytes, bucket.tokens + std::max(elapsed, 0.0) * sentRefillBytesPerSecond);
    bucket.filledAt = now;
    const auto bytes = static_cast<double>(payload + datagramHeaderBytes);
    const double reserved = sendClass == send_class::heartbeat ? urgentReserveBytes : 0;
    if (bucket.tokens - bytes < reserved)
        return false;
    bucket.tokens -= bytes;
    return true;
}

state::duration localHeartbeatInterval(std::size_t payload, const peer_counts& counts) noexcept
{
    const auto bytes = static_cast<double>(payload + datagramHeaderBytes);
    return std::max(minLocalHeartbeatInterval,
        toDuration(
            bytes * static_cast<double>(counts.local) / (heartbeatBytesPerSecond - remoteBytesPerSecond(counts))));
}

state::duration remoteHeartbeatInterval(std::size_t payload, const peer_counts& counts) noexcept
{
    const auto remote = std::max<std::size_t>(1, counts.all - counts.local);
    return remoteRoundDuration(payload, counts) / remote;
}

state::duration remoteRoundDuration(std::size_t payload, const peer_counts& counts) noexcept
{
    const auto bytes = static_cast<double>(payload + datagramHeaderBytes);
    return std::max(
        minRemoteRoundDuration, toDuration(bytes * static_cast<double>(counts.all) / remoteBytesPerSecond(counts)));
}

std::size_t remotePayloadLimit(const peer_counts& counts) noexcept
{
    const auto share = remoteBytesPerSecond(counts) / static_cast<double>(std::max<std::size_t>(1, counts.all));
    return static_cast<std::size_t>(std::max(0.0, share - datagramHeaderBytes));
}

} // namespace acaciaslip::coordination
