#include "coordination/gateway/probe_targets.hpp"

#include "coordination/gateway/cold_admission.hpp"
#include "coordination/gateway/leaving_servers.hpp"
#include "coordination/gateway/server_back_off.hpp"
#include "coordination/gateway/server_health.hpp"
#include "coordination/gateway/server_limit.hpp"
#include "coordination/gateway/slot_reservation.hpp"

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace acaciaslip::coordination::gateway {

namespace {

/// Age from which a load report no longer describes the current speed of the machine.
constexpr state::duration reportFreshness = std::chrono::milliseconds { 150 };
constexpr double slowReportThreshold = 2; ///< a server that reports at least this slowdown is probed later
constexpr double slowServerThreshold = 2; ///< likewise for the observed slowdown
constexpr double failingServerThreshold = 0.25; ///< likewise for the share of failed requests

constexpr std::size_t subsetSize = 12; ///< servers over all data centres, so that each data centre contributes some

constexpr state::duration afterBackOffTime = std::chrono::seconds { 10 }; ///< in which a server may refuse again

/// The ranks are added up, and servers with a lower sum are probed first. The random part is less than 1.
constexpr double rankOutsideSubset = 1;
constexpr double rankOtherDataCentre = 2;
constexpr double rankSlowReport = 2;
constexpr double rankSlowServer = 2;
constexpr double rankFailing = 3;
constexpr double rankLimited = 3; ///< a server that names a limit is in need
constexpr double rankAfterBackOff = 3; ///< it may refuse again, which costs a repeat
constexpr double rankCold = 20;
constexpr double rankEjected = 50;

bool contains(const std::vector<state::host_id>& list, const state::host_id& id) noexcept
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

bool isFull(const state::gateway::load_report& report) noexcept
{
    return report.slots > 0 && report.inFlight >= report.slots;
}

/// Limits the number of connections. In a large service each host prefers a subset of the servers, derived from a hash
/// of the host's and the server's id, so that a few kept-alive connections suffice. The other servers are probed when
/// the subset has no suitable server.
bool isInSubset(const gateway_node& self, const state::gateway::server_state& server, std::size_t members)
{
    const auto& host = self.settings.id;
    const auto& id = server.entry.id;
    const auto hash = XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(id.data(), id.size()));
    return hash % members < subsetSize;
}

bool mayReceiveWhileCold(
    const gateway_node& self, const state::gateway::server_state& server, state::time_point now) noexcept
{
    if (now >= server.coldUntil)
        return true;
    const auto* service = self.config ? state::gateway::findService(*self.config, server.entry.service) : nullptr;
    const double perSecond = service != nullptr ? service->coldRequestsPerSecond : 0;
    return mayUseColdSlot(server.coldUntil, perSecond, self.share, server.lastColdSendAt, now);
}

/// \param reserve slots per server that the request must leave free
double computeRank(const gateway_node& self, const state::gateway::server_state& server, std::size_t members,
    double reserve, state::time_point now)
{
    double rank = 0;
    if (!isLimitUnconfirmed(self, server, now)) {
        rank += server.entry.dataCentre == self.settings.dataCentre ? 0 : rankOtherDataCentre;
        rank += isInSubset(self, server, members) ? 0 : rankOutsideSubset;
        rank += server.limitPerSecond ? rankLimited : 0;
    }
    const bool isFresh = server.report && now - server.report->receivedAt < reportFreshness;
    if (isFresh
        && (server.report->slowdown >= slowReportThreshold || isFull(*server.report)
            || !hasUnreservedSlot(server, reserve)))
        rank += rankSlowReport;
    if (currentSlowdown(server, now) >= slowServerThreshold)
        rank += rankSlowServer;
    if (currentFailureRate(server, now) >= failingServerThreshold)
        rank += rankFailing;
    if (server.backOffUntil && now < *server.backOffUntil + afterBackOffTime)
        rank += rankAfterBackOff;
    if (now < server.coldUntil)
        rank += rankCold;
    if (isEjected(server, now))
        rank += rankEjected;
    return rank;
}

} // namespace

bool isEligible(const state::gateway::server_state& server, state::time_point now) noexcept
{
    return !server.entry.draining && !server.evacuated && (!server.removeAt || now < *server.removeAt)
        && (!server.leavingUntil || now < *server.leavingUntil);
}

bool isAdmitted(const gateway_node& self, const state::gateway::server_state& server, state::time_point now) noexcept
{
    return !isBackingOff(server, now) && mayReceiveWhileCold(self, server, now)
        && timeUntilWithinLimit(self, server, now) == state::duration::zero();
}

std::optional<state::duration> timeUntilLimitedServer(
    const gateway_node& self, const state::gateway::pending_request& request, state::time_point now)
{
    std::optional<state::duration> shortest;
    const auto service = self.services.find(request.service);
    if (service == self.services.end())
        return shortest;
    for (const auto& id : service->second.members) {
        const auto& server = self.servers.at(id);
        if (!server.limitPerSecond || contains(request.tried, id) || !isEligible(server, now) || isEjected(server, now)
            || isBackingOff(server, now) || !mayReceiveWhileCold(self, server, now))
            continue;
        const auto wait = timeUntilWithinLimit(self, server, now);
        if (wait > state::duration::zero())
            shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

std::vector<state::host_id> chooseServersToProbe(const gateway_node& self,
    const state::gateway::pending_request& request, std::size_t maxCount, state::time_point now,
    random_generator& random)
{
    struct candidate {
        double rank;
        const state::host_id* id;
    };
    std::vector<candidate> candidates;
    const auto service = self.services.find(request.service);
    if (service == self.services.end())
        return {};
    const bool skipsLeaving = hasStayingServer(self, request, now);
    for (const auto& id : service->second.members) {
        const auto& server = self.servers.at(id);
        if (skipsLeaving && server.leavingUntil)
            continue;
        const bool probed = request.round && contains(request.round->probed, id);
        if (probed || contains(request.tried, id) || !isEligible(server, now) || !isAdmitted(self, server, now))
            continue;
        const double randomPart = random() / (std::numeric_limits<std::uint32_t>::max() + 1.0);
        candidates.push_back(
            { computeRank(self, server, service->second.members.size(), request.reserve, now) + randomPart, &id });
    }
    const auto count = std::min(maxCount, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.rank < right.rank; });
    std::vector<state::host_id> chosen;
    chosen.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        chosen.push_back(*candidates[index].id);
    return chosen;
}

} // namespace acaciaslip::coordination::gateway
