#include "coordination/picking.hpp"

#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"
#include "coordination/permits.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination {

namespace {

/// Requests that a warm server may have from all nodes, per slot; the rest waits at the nodes.
constexpr double loadPerSlotLimit = 2;
constexpr state::duration unknownLatency = std::chrono::milliseconds { 1 };
/// A cold server takes one pick in this many while warm ones could take the request too, so that it warms up.
constexpr std::uint32_t warmUpOneIn = 4;
/// Scores within this share of each other are a tie, which chance breaks.
constexpr double tieShare = 0.001;

std::uint32_t slotsOf(const node& self, const state::server_record& server)
{
    return self.fleet.services[server.service].settings.slots;
}

bool hasFreePermit(const state::server_record& server)
{
    return server.ownInFlight < server.load.slotPermits;
}

bool hasRoom(const node& self, const state::server_record& server, state::time_point now)
{
    if (server.condition == state::server_condition::cold)
        return server.ownInFlight < coldAllowance(self, server, now);
    return hasFreePermit(server) || estimateInFlight(server.load) < loadPerSlotLimit * slotsOf(self, server);
}

bool mayTake(const node& self, const state::request& request, state::server_index index, state::time_point now)
{
    const auto& server = self.fleet.servers[index];
    const bool tried = std::find(request.tried.begin(), request.tried.end(), index) != request.tried.end();
    return !tried && isCandidate(server) && hasRoom(self, server, now);
}

/// The mean latency of a service's servers that have answered.
state::duration usualLatency(const node& self, const state::service_record& service)
{
    state::duration total {};
    int answered = 0;
    for (const auto index : service.members) {
        const auto latency = self.fleet.servers[index].load.latency;
        total += latency;
        answered += latency != state::duration::zero() ? 1 : 0;
    }
    return answered > 0 ? total / answered : unknownLatency;
}

/// Expected time of a request sent now, up to a factor: latency times the share of slots that it finds taken.
double score(const node& self, const state::server_record& server, state::duration usual, state::time_point now)
{
    const double permits = server.load.slotPermits;
    const double own = server.ownInFlight;
    const double spare = std::clamp(permits - own, 0.0, 1.0);
    const double borrowed = std::max(0.0, own - permits);
    const double load = std::max(0.0, estimateInFlight(server.load) - spare + borrowed);
    const auto latency = static_cast<double>(expectLatency(server.load, usual, now).count());
    return latency * (1 + load / slotsOf(self, server));
}

/// The server with the least score offered; chance breaks ties.
struct least_score {
    std::optional<state::server_index> index;
    double value = 0;
    std::uint32_t ties = 0;

    void offer(state::server_index offered, double score, random_generator& random)
    {
        const bool tied = index && std::abs(score - value) <= tieShare * value;
        const bool better = tied ? random(++ties) == 0 : !index || score < value;
        if (!tied && better)
            ties = 1;
        if (better) {
            index = offered;
            value = score;
        }
    }
};

} // namespace

bool isCandidate(const state::server_record& server) noexcept
{
    return server.listing == state::host_listing::live && !server.dataCentreOut
        && server.condition != state::server_condition::ejected && !(server.report && server.report->draining);
}

std::optional<state::server_index> pickServer(
    const node& self, const state::request& request, state::time_point now, random_generator& random)
{
    const auto& service = self.fleet.services[request.service];
    const auto usual = usualLatency(self, service);
    least_score warm;
    least_score cold;
    for (const auto index : service.members) {
        if (!mayTake(self, request, index, now))
            continue;
        const auto& server = self.fleet.servers[index];
        auto& group = server.condition == state::server_condition::cold ? cold : warm;
        group.offer(index, score(self, server, usual, now), random);
    }
    if (warm.index && cold.index)
        return random(warmUpOneIn) == 0 ? cold.index : warm.index;
    return warm.index ? warm.index : cold.index;
}

} // namespace acaciaslip::coordination
