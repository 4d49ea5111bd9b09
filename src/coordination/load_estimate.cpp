#include "coordination/load_estimate.hpp"

#include "coordination/node.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination {

namespace {

constexpr int latencyWeight = 8; ///< the newest sample counts for one part in this many
constexpr double peerWeight = 16; ///< the newest count of a peer counts for one part in this many
/// Time between messages of a peer. A count that is not resent is taken as unchanged over the messages sent since.
constexpr state::duration peerMessageInterval = std::chrono::milliseconds { 50 };
/// Time constant for the decay of an idle server's latency.
constexpr state::duration latencyDecayTime = std::chrono::seconds { 1 };

} // namespace

void addInFlight(state::load_state& load, state::time_point startedAt)
{
    load.inFlightSince.push_back(startedAt);
}

void removeInFlight(state::load_state& load, state::time_point startedAt)
{
    const auto found = std::find(load.inFlightSince.begin(), load.inFlightSince.end(), startedAt);
    if (found != load.inFlightSince.end())
        load.inFlightSince.erase(found);
}

void updateLatencyAverage(state::load_state& load, state::duration latency, state::time_point now)
{
    if (load.latency == state::duration::zero())
        load.latency = latency;
    else
        load.latency += (latency - load.latency) / latencyWeight;
    load.latencyUpdatedAt = now;
}

void updatePeerLoad(state::load_state& load, const state::host_id& peer, std::uint32_t inFlight, state::time_point now)
{
    const auto [position, added] = load.peers.try_emplace(peer);
    auto& peerLoad = position->second;
    const double before = peerLoad.average;
    if (added)
        peerLoad.average = inFlight;
    else {
        const double unsent
            = std::max(0.0, std::chrono::duration<double>(now - peerLoad.receivedAt) / peerMessageInterval - 1);
        const double previous = peerLoad.inFlight + (before - peerLoad.inFlight) * std::pow(1 - 1 / peerWeight, unsent);
        peerLoad.average = previous + (inFlight - previous) / peerWeight;
    }
    peerLoad.inFlight = inFlight;
    peerLoad.receivedAt = now;
    load.peersAverage = std::max(0.0, load.peersAverage + peerLoad.average - before);
}

void removePeerLoad(state::load_state& load, const state::host_id& peer)
{
    const auto found = load.peers.find(peer);
    if (found == load.peers.end())
        return;
    load.peers.erase(found);
    load.peersAverage = 0;
    for (const auto& [id, peerLoad] : load.peers)
        load.peersAverage += peerLoad.average;
}

double estimateInFlight(const state::load_state& load) noexcept
{
    return static_cast<double>(load.inFlightSince.size()) + load.peersAverage;
}

state::duration estimateLatency(
    const state::load_state& load, state::duration serviceLatency, state::time_point now) noexcept
{
    state::duration expected = serviceLatency;
    if (load.latency != state::duration::zero()) {
        const double idle = std::chrono::duration<double>(now - load.latencyUpdatedAt) / latencyDecayTime;
        const double kept = std::exp(-std::max(0.0, idle));
        expected += std::chrono::duration_cast<state::duration>((load.latency - serviceLatency) * kept);
    }
    if (!load.inFlightSince.empty())
        expected = std::max(expected, now - load.inFlightSince.front());
    return expected;
}

void applyPeerLoads(node& self, const state::peer_message& message, state::time_point now)
{
    for (const auto& received : message.loads) {
        const auto index = findServer(self.serverTags, received.server);
        if (index)
            updatePeerLoad(self.fleet.servers[*index].load, message.sender, received.inFlight, now);
    }
}

} // namespace acaciaslip::coordination
