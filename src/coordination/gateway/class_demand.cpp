#include "coordination/gateway/class_demand.hpp"

#include "coordination/gateway/request_classes.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::class_demand;
using state::gateway::request_class;

constexpr std::size_t demandsPerHeartbeat = 6; ///< keeps a heartbeat within one datagram
constexpr std::size_t demandBytesPerHeartbeat = 250; ///< likewise, when the names of services are long
constexpr std::size_t bytesPerDemand = 28; ///< encoded, without the service's name
constexpr double minPerSecond = 0.01; ///< a class with fewer requests needs no slot
/// Time between two estimates; limits the work per request, since all peers are considered.
constexpr state::duration estimateInterval = std::chrono::milliseconds { 500 };

double slotsOf(const class_demand& demand) noexcept
{
    return demand.perSecond * std::chrono::duration<double>(demand.work).count();
}

bool isLeastUrgent(const service_activity& activity, const request_class& known) noexcept
{
    return std::none_of(activity.classes.begin(), activity.classes.end(),
        [&](const auto& other) { return other.priority > known.priority; });
}

} // namespace

std::optional<std::vector<class_demand>> collectClassDemand(const gateway_node& self, state::time_point now)
{
    std::vector<class_demand> collected;
    bool hasPriorities = false;
    for (const auto& [service, activity] : self.services) {
        hasPriorities = hasPriorities || activity.hasPriorities;
        for (const auto& known : activity.classes) {
            const double perSecond = arrivalsPerSecond(known, now);
            if (perSecond >= minPerSecond && !isLeastUrgent(activity, known))
                collected.push_back({ service, known.priority, known.objective, perSecond, typicalServiceTime(known) });
        }
    }
    if (!hasPriorities)
        return std::nullopt;
    std::sort(collected.begin(), collected.end(),
        [](const auto& left, const auto& right) { return slotsOf(left) > slotsOf(right); });
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < std::min(collected.size(), demandsPerHeartbeat)) {
        bytes += bytesPerDemand + collected[count].service.size();
        if (bytes > demandBytesPerHeartbeat)
            break;
        ++count;
    }
    collected.resize(count);
    return collected;
}

std::size_t countBytes(const std::vector<class_demand>& demands) noexcept
{
    std::size_t bytes = 0;
    for (const auto& demand : demands)
        bytes += bytesPerDemand + demand.service.size();
    return bytes;
}

void adoptClassDemand(
    state::gateway::peer_state& peer, const state::gateway::peer_heartbeat& message, state::time_point now)
{
    if (!message.classDemand)
        return;
    peer.classDemand = *message.classDemand;
    peer.classDemandAt = now;
}

double estimateFleetDemand(
    const gateway_node& self, std::string_view service, const request_class& known, state::time_point now)
{
    double slots = arrivalsPerSecond(known, now) * std::chrono::duration<double>(typicalServiceTime(known)).count();
    std::uint32_t reports = 1;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.classDemandAt || now - *peer.classDemandAt >= classDemandLifetime)
            continue;
        ++reports;
        for (const auto& demand : peer.classDemand) {
            if (demand.priority == known.priority && demand.objective == known.objective && demand.service == service)
                slots += slotsOf(demand);
        }
    }
    const auto hosts = reports == 1 ? 1 : std::max(self.share.hosts, reports);
    return slots * hosts / reports;
}

void refreshFleetDemand(gateway_node& self, std::string_view service, state::time_point now)
{
    const auto found = self.services.find(service);
    if (found == self.services.end())
        return;
    for (auto& known : found->second.classes) {
        if (now - known.fleetDemandAt < estimateInterval || isLeastUrgent(found->second, known))
            continue;
        known.fleetDemand = estimateFleetDemand(self, service, known, now);
        known.fleetDemandAt = now;
    }
}

} // namespace acaciaslip::coordination::gateway
