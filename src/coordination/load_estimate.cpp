#include "coordination/load_estimate.hpp"

#include "coordination/node.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination {

namespace {

constexpr int latencyWeight = 8; ///< the newest answer counts one in this many
constexpr double peerWeight = 16; ///< the newest count of a peer counts one in this many
constexpr state::duration peerInterval
    = std::chrono::milliseconds { 50 }; ///< a count that is not told again has held for so many messages' time
constexpr state::duration latencyMemory
    = std::chrono::seconds { 1 }; ///< an idle server's latency is forgotten over this

} // namespace

void addRunning(state::load_state& load, state::time_point startedAt)
{
    load.runningSince.push_back(startedAt);
}

void removeRunning(state::load_state& load, state::time_point startedAt)
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

void learnPeerLoad(state::load_state& load, const state::host_id& peer, std::uint32_t inFlight, state::time_point now)
{
    const auto [position, added] = load.peers.try_emplace(peer);
    auto& known = position->second;
    const double before = known.average;
    if (added)
        known.average = inFlight;
    else {
        const double missed = std::max(0.0, std::chrono::duration<double>(now - known.heardAt) / peerInterval - 1);
        const double held = known.inFlight + (before - known.inFlight) * std::pow(1 - 1 / peerWeight, missed);
        known.average = held + (inFlight - held) / peerWeight;
    }
    known.inFlight = inFlight;
    known.heardAt = now;
    load.othersAverage = std::max(0.0, load.othersAverage + known.average - before);
}

void forgetPeerLoad(state::load_state& load, const state::host_id& peer)
{
    const auto found = load.peers.find(peer);
    if (found == load.peers.end())
        return;
    load.peers.erase(found);
    load.othersAverage = 0;
    for (const auto& [id, known] : load.peers)
        load.othersAverage += known.average;
}

double estimateInFlight(const state::load_state& load) noexcept
{
    return static_cast<double>(load.runningSince.size()) + load.othersAverage;
}

state::duration expectLatency(const state::load_state& load, state::duration usual, state::time_point now) noexcept
{
    state::duration expected = usual;
    if (load.latency != state::duration::zero()) {
        const double idle = std::chrono::duration<double>(now - load.latencyAt) / latencyMemory;
        const double kept = std::exp(-std::max(0.0, idle));
        expected += std::chrono::duration_cast<state::duration>((load.latency - usual) * kept);
    }
    if (!load.runningSince.empty())
        expected = std::max(expected, now - load.runningSince.front());
    return expected;
}

void notePeerLoads(node& self, const state::peer_message& message, state::time_point now)
{
    for (const auto& heard : message.loads) {
        const auto index = findServer(self.serverTags, heard.server);
        if (index)
            learnPeerLoad(self.fleet.servers[*index].load, message.from, heard.inFlight, now);
    }
}

} // namespace acaciaslip::coordination
