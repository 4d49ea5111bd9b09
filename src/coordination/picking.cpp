#include "coordination/picking.hpp"

#include "coordination/node.hpp"

#include <algorithm>
#include <vector>

namespace acaciaslip::coordination {

namespace {

std::uint32_t inFlightOnAllNodes(const state::server_record& server)
{
    std::uint32_t total = server.ownInFlight;
    for (const auto& [peer, load] : server.peerLoads)
        total += load.inFlight;
    return total;
}

bool hasRoom(const node& self, const state::server_record& server)
{
    if (server.condition == state::server_condition::cold)
        return inFlightOnAllNodes(server) < server.limit;
    const auto& settings = self.fleet.services[server.service].settings;
    return inFlightOnAllNodes(server) < settings.slots;
}

} // namespace

bool isCandidate(const state::server_record& server) noexcept
{
    return server.listing == state::host_listing::live && !server.dataCentreOut
        && server.condition != state::server_condition::ejected && !(server.report && server.report->draining);
}

std::optional<state::server_index> pickServer(
    const node& self, const state::request& request, state::time_point /*now*/, random_generator& random)
{
    const auto& tried = request.tried;
    std::vector<state::server_index> candidates;
    for (const auto index : self.fleet.services[request.service].members) {
        const auto& server = self.fleet.servers[index];
        if (isCandidate(server) && hasRoom(self, server) && std::find(tried.begin(), tried.end(), index) == tried.end())
            candidates.push_back(index);
    }
    if (candidates.empty())
        return std::nullopt;
    const auto size = static_cast<std::uint32_t>(candidates.size());
    const auto first = candidates[random(size)];
    const auto second = candidates[random(size)];
    const auto load = [&](state::server_index index) { return inFlightOnAllNodes(self.fleet.servers[index]); };
    return load(second) < load(first) ? second : first;
}

} // namespace acaciaslip::coordination
