#include "coordination/gateway/slot_reservation.hpp"

#include "coordination/gateway/class_demand.hpp"
#include "coordination/gateway/completion_estimate.hpp"
#include "coordination/gateway/request_classes.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include <xxhash.h>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;
using state::gateway::request_class;

/// Slots that are kept for each slot in use on average. Arrivals are random, and a host considers only a few servers,
/// of which a quarter is slowed down by other work at any moment.
constexpr double slotsKeptPerSlotUsed = 8;
/// Mean slots in use per server below which there is no demand.
constexpr double minDemandPerServer = 0.002;
constexpr double maxReservedShare = 0.5; ///< of a server's slots, so that a flood of urgent requests locks nobody out
/// Smallest reserve while there is demand: it keeps no slot beyond those from which servers work slower.
constexpr double minReserve = 1e-6;
/// A class is let through when it has been served less than this share as often as all. A quarter is promised; the
/// margin allows for hosts that count only their own requests.
constexpr double starvationShare = 0.35;
constexpr double minEnded = 4; ///< ended requests below which a share says nothing

/// Position of a server in an order that is the same on all hosts: a number in [0, 1).
double hashedShare(const state::host_id& id) noexcept
{
    return static_cast<double>(XXH3_64bits(id.data(), id.size()) >> 11U) / static_cast<double>(1ULL << 53U);
}

/// Whether a class has lately been served much less often than all classes of its service.
bool isStarving(const service_activity& activity, const request_class& known) noexcept
{
    double served = 0;
    double ended = 0;
    for (const auto& other : activity.classes) {
        served += other.recentServed;
        ended += other.recentServed + other.recentRefused;
    }
    const double ownEnded = known.recentServed + known.recentRefused;
    return ownEnded >= minEnded && known.recentServed / ownEnded < starvationShare * served / ended;
}

/// Share of the reserve that applies to a request: all of it in the first half of its slack, then less and less.
double remainingReserveShare(const gateway_node& self, const pending_request& request, state::time_point now) noexcept
{
    const auto work = typicalServiceTime(self, request);
    const auto slack = request.objectiveAt - request.arrivedAt - work;
    if (slack <= state::duration::zero())
        return 0;
    const auto left = request.objectiveAt - work - now;
    return std::clamp(2 * static_cast<double>(left.count()) / static_cast<double>(slack.count()), 0.0, 1.0);
}

} // namespace

double computeReserve(gateway_node& self, const pending_request& request, state::time_point now)
{
    const auto* const own = findClass(self, request);
    if (own == nullptr)
        return 0;
    refreshFleetDemand(self, request.service, now);
    const auto& activity = self.services.at(request.service);
    double slots = 0;
    for (const auto& known : activity.classes)
        slots += known.priority < request.priority ? known.fleetDemand : 0;
    const auto servers = static_cast<double>(std::max<std::size_t>(activity.members.size(), 1));
    const double perServer = slots / servers;
    if (perServer < minDemandPerServer || isStarving(activity, *own))
        return 0;
    return std::max(perServer * slotsKeptPerSlotUsed * remainingReserveShare(self, request, now), minReserve);
}

double unreservedSlots(double slots, double kept) noexcept
{
    return std::max({ std::floor(highUtilization * slots - kept), std::floor(slots * (1 - maxReservedShare)), 1.0 });
}

bool hasAmpleSlack(const gateway_node& self, const pending_request& request, state::time_point now) noexcept
{
    return remainingReserveShare(self, request, now) >= 1;
}

bool hasUnreservedSlot(const state::gateway::server_state& server, double reserve) noexcept
{
    if (reserve <= 0)
        return true;
    const auto use = countSlotUse(server);
    const double whole = std::floor(reserve);
    const double kept = whole + (hashedShare(server.entry.id) < reserve - whole ? 1 : 0);
    return use.queued <= 0 && use.inFlight + 1 <= unreservedSlots(use.slots, kept);
}

} // namespace acaciaslip::coordination::gateway
