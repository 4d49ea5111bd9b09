#include "coordination/picking.hpp"

#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"
#include "coordination/permits.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination {

namespace {

/// Maximum in-flight requests per slot of a warm server, over all nodes. Further requests queue at the nodes.
constexpr double maxLoadPerSlot = 2;
constexpr state::duration defaultLatency = std::chrono::milliseconds { 1 };
/// While warm servers have capacity, one pick in this many goes to a cold server so that it warms up.
constexpr std::uint32_t coldPickDivisor = 4;
/// Scores whose relative difference is at most this are ties, which are broken at random.
constexpr double tieTolerance = 0.001;

std::uint32_t slotCount(const node& self, const state::server_record& server)
{
    return self.fleet.services[server.service].settings.slots;
}

bool hasFreeAssignedSlot(const state::server_record& server)
{
    return server.ownInFlight < server.load.assignedSlots;
}

bool hasCapacity(const node& self, const state::server_record& server, state::time_point now)
{
    if (server.condition == state::server_condition::cold)
        return server.ownInFlight < coldAllowance(self, server, now);
    return hasFreeAssignedSlot(server) || estimateInFlight(server.load) < maxLoadPerSlot * slotCount(self, server);
}

bool canAccept(const node& self, const state::request& request, state::server_index index, state::time_point now)
{
    const auto& server = self.fleet.servers[index];
    const bool tried = std::find(request.excludedServers.begin(), request.excludedServers.end(), index)
        != request.excludedServers.end();
    return !tried && isEligible(server) && hasCapacity(self, server, now);
}

/// The mean latency of those servers of a service that have a latency measurement.
state::duration averageLatency(const node& self, const state::service_record& service)
{
    state::duration total {};
    int measured = 0;
    for (const auto index : service.members) {
        const auto latency = self.fleet.servers[index].load.latency;
        total += latency;
        measured += latency != state::duration::zero() ? 1 : 0;
    }
    return measured > 0 ? total / measured : defaultLatency;
}

/// Relative expected duration of a request sent now: the latency scaled by one plus the load per slot.
double score(
    const node& self, const state::server_record& server, state::duration serviceLatency, state::time_point now)
{
    const double assigned = server.load.assignedSlots;
    const double own = server.ownInFlight;
    const double freeAssigned = std::clamp(assigned - own, 0.0, 1.0);
    const double aboveAssigned = std::max(0.0, own - assigned);
    const double load = std::max(0.0, estimateInFlight(server.load) - freeAssigned + aboveAssigned);
    const auto latency = static_cast<double>(estimateLatency(server.load, serviceLatency, now).count());
    return latency * (1 + load / slotCount(self, server));
}

/// Selects the server with the lowest score. Ties are broken at random.
struct lowest_score {
    std::optional<state::server_index> index;
    double value = 0;
    std::uint32_t ties = 0;

    void consider(state::server_index candidate, double score, random_generator& random)
    {
        const bool tied = index && std::abs(score - value) <= tieTolerance * value;
        const bool better = tied ? random(++ties) == 0 : !index || score < value;
        if (!tied && better)
            ties = 1;
        if (better) {
            index = candidate;
            value = score;
        }
    }
};

} // namespace

bool isEligible(const state::server_record& server) noexcept
{
    return server.listing == state::host_listing::live && !server.dataCentreEvacuated
        && server.condition != state::server_condition::ejected && !(server.report && server.report->draining);
}

std::optional<state::server_index> pickServer(
    const node& self, const state::request& request, state::time_point now, random_generator& random)
{
    const auto& service = self.fleet.services[request.service];
    const auto serviceLatency = averageLatency(self, service);
    lowest_score warm;
    lowest_score cold;
    for (const auto index : service.members) {
        if (!canAccept(self, request, index, now))
            continue;
        const auto& server = self.fleet.servers[index];
        auto& group = server.condition == state::server_condition::cold ? cold : warm;
        group.consider(index, score(self, server, serviceLatency, now), random);
    }
    if (warm.index && cold.index)
        return random(coldPickDivisor) == 0 ? cold.index : warm.index;
    return warm.index ? warm.index : cold.index;
}

} // namespace acaciaslip::coordination
