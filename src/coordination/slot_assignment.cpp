#include "coordination/slot_assignment.hpp"

#include "coordination/node.hpp"

#include <algorithm>
#include <map>
#include <vector>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

using host_list = std::vector<state::host_id>;

std::map<state::data_centre_id, host_list> listLiveEntryHosts(const state::fleet_settings& settings)
{
    std::map<state::data_centre_id, host_list> hosts;
    for (const auto& host : settings.hosts) {
        if (host.kind == state::host_kind::entry && host.listing == state::host_listing::live)
            hosts[host.dataCentre].push_back(host.id);
    }
    for (auto& [dataCentre, ids] : hosts)
        std::sort(ids.begin(), ids.end());
    return hosts;
}

/// Each service starts its assignment at a different host, so that the extra slots do not always go to the same host.
std::size_t firstHostPosition(const state::service_name& service)
{
    const auto name = service.team + '/' + service.name;
    return XXH3_64bits(name.data(), name.size());
}

/// Assigns one slot of each server in turn, so that the slots of a host are on different servers.
void assignInTurn(state::fleet& fleet, const state::service_record& service,
    const std::vector<state::server_index>& servers, const host_list& hosts, const state::host_id& self)
{
    std::size_t next = firstHostPosition(service.settings.name);
    for (std::uint32_t slot = 0; slot < service.settings.slots; ++slot) {
        for (const auto index : servers) {
            if (hosts[next % hosts.size()] == self)
                ++fleet.servers[index].load.assignedSlots;
            ++next;
        }
    }
}

} // namespace

void assignSlots(node& self, const state::fleet_settings& settings)
{
    const auto hostsByDataCentre = listLiveEntryHosts(settings);
    host_list allHosts;
    for (const auto& [dataCentre, hosts] : hostsByDataCentre)
        allHosts.insert(allHosts.end(), hosts.begin(), hosts.end());
    for (auto& server : self.fleet.servers)
        server.load.assignedSlots = 0;
    if (allHosts.empty())
        return;
    for (const auto& service : self.fleet.services) {
        std::map<state::data_centre_id, std::vector<state::server_index>> servers;
        for (const auto index : service.members) {
            const auto& server = self.fleet.servers[index];
            if (server.listing == state::host_listing::live && !server.dataCentreEvacuated)
                servers[server.dataCentre].push_back(index);
        }
        for (auto& [dataCentre, indexes] : servers) {
            std::sort(indexes.begin(), indexes.end(), [&](state::server_index left, state::server_index right) {
                return self.fleet.servers[left].id < self.fleet.servers[right].id;
            });
            const auto hosts = hostsByDataCentre.find(dataCentre);
            assignInTurn(self.fleet, service, indexes, hosts != hostsByDataCentre.end() ? hosts->second : allHosts,
                self.settings.id);
        }
    }
}

} // namespace acaciaslip::coordination
