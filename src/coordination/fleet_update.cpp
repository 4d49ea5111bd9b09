#include "coordination/fleet_update.hpp"

#include "coordination/conditions.hpp"
#include "coordination/node.hpp"
#include "coordination/permits.hpp"
#include "coordination/probing.hpp"

#include <algorithm>

#include <absl/container/flat_hash_set.h>

namespace acaciaslip::coordination {

namespace {

void applyServices(state::fleet& fleet, const std::vector<state::service_settings>& services)
{
    for (auto& service : fleet.services)
        service.active = false;
    for (const auto& settings : services) {
        const auto [position, added]
            = fleet.serviceIndexes.try_emplace(settings.name, static_cast<state::service_index>(fleet.services.size()));
        if (added)
            fleet.services.emplace_back();
        auto& service = fleet.services[position->second];
        service.settings = settings;
        service.active = true;
    }
}

state::server_record& findOrAddServer(state::fleet& fleet, const state::host_id& id)
{
    const auto [position, added]
        = fleet.serverIndexes.try_emplace(id, static_cast<state::server_index>(fleet.servers.size()));
    if (added)
        fleet.servers.emplace_back().id = id;
    return fleet.servers[position->second];
}

void applyServer(state::fleet& fleet, const state::host_record& host, bool evacuated, state::time_point now)
{
    const auto service = fleet.serviceIndexes.find(host.service);
    if (service == fleet.serviceIndexes.end())
        return;
    auto& server = findOrAddServer(fleet, host.id);
    const bool newlyEvacuated
        = evacuated && !server.dataCentreEvacuated && server.listing != state::host_listing::absent;
    const bool replaced = !server.address.empty() && server.address != host.address;
    server.address = host.address;
    server.dataCentre = host.dataCentre;
    server.service = service->second;
    server.listing = host.listing;
    server.dataCentreEvacuated = evacuated;
    if (newlyEvacuated || replaced)
        resetToColdLocally(server, newlyEvacuated ? "data_centre_out" : "replaced", now);
}

/// Marks a server as absent and resets it to cold.
///
/// It is reset when it leaves the list, not when it returns to it. Otherwise a node that learns of the return late
/// would undo the increases of the server's limit since then.
void markAbsent(state::server_record& server, state::time_point now)
{
    if (server.listing == state::host_listing::absent)
        return;
    server.listing = state::host_listing::absent;
    resetToColdLocally(server, "unlisted", now);
}

void rebuildMembers(state::fleet& fleet)
{
    for (auto& service : fleet.services)
        service.members.clear();
    for (state::server_index index = 0; index < fleet.servers.size(); ++index) {
        const auto& server = fleet.servers[index];
        if (server.listing != state::host_listing::absent)
            fleet.services[server.service].members.push_back(index);
    }
}

} // namespace

void applySettings(node& self, const state::fleet_settings& settings, state::time_point now)
{
    auto& fleet = self.fleet;
    applyServices(fleet, settings.services);
    absl::flat_hash_set<state::host_id> listed;
    fleet.entryHosts.clear();
    const auto& evacuatedDataCentres = settings.evacuatedDataCentres;
    for (const auto& host : settings.hosts) {
        if (host.kind == state::host_kind::entry) {
            fleet.entryHosts.push_back(host.id);
            continue;
        }
        const bool evacuated = std::find(evacuatedDataCentres.begin(), evacuatedDataCentres.end(), host.dataCentre)
            != evacuatedDataCentres.end();
        applyServer(fleet, host, evacuated, now);
        listed.insert(host.id);
    }
    std::sort(fleet.entryHosts.begin(), fleet.entryHosts.end());
    for (auto& server : fleet.servers) {
        if (!listed.contains(server.id))
            markAbsent(server, now);
    }
    rebuildMembers(fleet);
    updatePermitHosts(self, now);
    assignProbes(self, now);
}

} // namespace acaciaslip::coordination
