#include "coordination/gateway/leaving_servers.hpp"

#include "coordination/gateway/probe_targets.hpp"
#include "coordination/gateway/server_health.hpp"
#include "coordination/gateway/server_load.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// Share of the drain time in which a leaving server is used. The rest is left for requests in flight.
constexpr double usableDrainShare = 0.5;

} // namespace

void recordLeaving(gateway_node& self, const state::host_id& server, std::string_view from, state::time_point now,
    effect_list& effects)
{
    auto* const known = findServer(self, server);
    if (known == nullptr || known->leavingUntil)
        return;
    known->leavingUntil
        = now + std::chrono::duration_cast<state::duration>(self.settings.limits.drain * usableDrainShare);
    effects.emplace_back(log_event { log_level::info, "server",
        { { "server", server }, { "what", "says_it_leaves" }, { "service", known->entry.service },
            { "from", std::string(from) } } });
}

bool hasStayingServer(const gateway_node& self, const state::gateway::pending_request& request, state::time_point now)
{
    const auto service = self.services.find(request.service);
    if (service == self.services.end())
        return false;
    return std::any_of(service->second.members.begin(), service->second.members.end(), [&](const auto& id) {
        const auto& server = self.servers.at(id);
        return !server.leavingUntil && isEligible(server, now) && isAdmitted(self, server, now)
            && !isEjected(server, now)
            && std::find(request.tried.begin(), request.tried.end(), id) == request.tried.end();
    });
}

} // namespace acaciaslip::coordination::gateway
