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
    load.runningSince.push_back(startedAt);
}

void removeInFlight(state::load_state& load, state::time_point startedAt)
{
    const auto found = std::find(load.runningSince.begin(), load.runningSince.end(), startedAt);
    if (found != load.runningSince.end())
        load.runningSince.erase(found);
}

void learnLatency(state::load_state& load, state::duration latency, state::time_point now)
{
    if (load.latency == state::duration::zero())
        load.latency = latency;
    else
        load.latency += (latency - load.latency) / latencyWeight;
    load.latencyAt = now;
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
            = std::max(0.0, std::chrono::duration<double>(now - peerLoad.heardAt) / peerMessageInterval - 1);
        const double previous = peerLoad.inFlight + (before - peerLoad.inFlight) * std::pow(1 - 1 / peerWeight, unsent);
        peerLoad.average = previous + (inFlight - previous) / peerWeight;
    }
    peerLoad.inFlight = inFlight;
    peerLoad.heardAt = now;
    load.othersAverage = std::max(0.0, load.othersAverage + peerLoad.average - before);
}

void forgetPeerLoad(state::load_state& load, const state::host_id& peer)
{
    const auto found = load.peers.find(peer);
    if (found == load.peers.end())
        return;
    load.peers.erase(found);
    load.othersAverage = 0;
    for (const auto& [id, peerLoad] : load.peers)
        load.othersAverage += peerLoad.average;
}

double estimateInFlight(const state::load_state& load) noexcept
{
    return static_cast<double>(load.runningSince.size()) + load.othersAverage;
}

state::duration estimateLatency(
    const state::load_state& load, state::duration serviceLatency, state::time_point now) noexcept
{
    state::duration expected = serviceLatency;
    if (load.latency != state::duration::zero()) {
        const double idle = std::chrono::duration<double>(now - load.latencyAt) / latencyDecayTime;
        const double kept = std::exp(-std::max(0.0, idle));
        expected += std::chrono::duration_cast<state::duration>((load.latency - serviceLatency) * kept);
    }
    if (!load.runningSince.empty())
        expected = std::max(expected, now - load.runningSince.front());
    return expected;
}

void notePeerLoads(node& self, const state::peer_message& message, state::time_point now)
{
    for (const auto& received : message.loads) {
        const auto index = findServer(self.serverTags, received.server);
        if (index)
            updatePeerLoad(self.fleet.servers[*index].load, message.from, received.inFlight, now);
    }
}

} // namespace acaciaslip::coordination
