#include "coordination/peer_budget.hpp"

#include "coordination/message_size.hpp"
#include "coordination/node.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration shortestNearPause = std::chrono::milliseconds { 20 };
constexpr state::duration shortestFarRound = std::chrono::seconds { 1 };

/// Bytes per second for heartbeats to peers in other data centres; the rest is for peers in this data centre.
double farBytes(const peer_counts& counts) noexcept
{
    return std::clamp(farBytesForPeer * static_cast<double>(counts.all), leastFarBytesPerSecond, mostFarBytesPerSecond);
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
        counts.near += peer.near ? 1 : 0;
    return counts;
}

bool takeBytes(byte_bucket& bucket, std::size_t payload, send_class wanted, state::time_point now) noexcept
{
    const double passed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(sentBurstBytes, bucket.tokens + std::max(passed, 0.0) * sentRefillBytes);
    bucket.filledAt = now;
    const auto bytes = static_cast<double>(payload + datagramHeaderBytes);
    const double kept = wanted == send_class::heartbeat ? urgentReserveBytes : 0;
    if (bucket.tokens - bytes < kept)
        return false;
    bucket.tokens -= bytes;
    return true;
}

state::duration nearPause(std::size_t payload, const peer_counts& counts) noexcept
{
    const auto bytes = static_cast<double>(payload + datagramHeaderBytes);
    return std::max(shortestNearPause,
        toDuration(bytes * static_cast<double>(counts.near) / (heartbeatBytesPerSecond - farBytes(counts))));
}

state::duration farPause(std::size_t payload, const peer_counts& counts) noexcept
{
    const auto far = std::max<std::size_t>(1, counts.all - counts.near);
    return farRound(payload, counts) / far;
}

state::duration farRound(std::size_t payload, const peer_counts& counts) noexcept
{
    const auto bytes = static_cast<double>(payload + datagramHeaderBytes);
    return std::max(shortestFarRound, toDuration(bytes * static_cast<double>(counts.all) / farBytes(counts)));
}

std::size_t farPayloadLimit(const peer_counts& counts) noexcept
{
    const auto share = farBytes(counts) / static_cast<double>(std::max<std::size_t>(1, counts.all));
    return static_cast<std::size_t>(std::max(0.0, share - datagramHeaderBytes));
}

} // namespace acaciaslip::coordination
