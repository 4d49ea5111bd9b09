#include "coordination/slot_assignment.hpp"

#include "coordination/fleet_update.hpp"
#include "coordination/node.hpp"

#include <algorithm>
#include <map>
#include <numeric>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

constexpr std::uint32_t slots = 4;

class slot_assignment_test : public testing::Test {
protected:
    slot_assignment_test()
    {
        state::service_settings service;
        service.name = { "kierdicht", "routes" };
        service.slots = slots;
        m_settings.services.push_back(service);
    }

    void addHosts(state::host_kind kind, const std::string& dataCentre, int count)
    {
        for (int number = 0; number < count; ++number) {
            state::host_record host;
            host.id = fmt::format("{}-{}-{}", state::findName(state::hostKindNames, kind), dataCentre, number);
            host.dataCentre = dataCentre;
            host.kind = kind;
            host.service = { "kierdicht", "routes" };
            m_settings.hosts.push_back(host);
        }
    }

    /// The number of slots that each listed entry host assigns to itself, by server and entry host.
    std::map<state::host_id, std::vector<std::uint32_t>> assignAll()
    {
        std::map<state::host_id, std::vector<std::uint32_t>> assigned;
        for (const auto& host : m_settings.hosts) {
            if (host.kind != state::host_kind::entry)
                continue;
            state::node_settings own;
            own.id = host.id;
            own.dataCentre = host.dataCentre;
            auto node = makeNode(own, 1, {});
            applySettings(node, m_settings, state::time_point {});
            assignSlots(node, m_settings);
            for (const auto& server : node.fleet.servers)
                assigned[server.id].push_back(server.load.assignedSlots);
        }
        return assigned;
    }

    state::fleet_settings m_settings;
};

TEST_F(slot_assignment_test, AllHosts_SameList_AssignEverySlotOnce)
{
    for (const auto* dataCentre : { "dc-a", "dc-b", "dc-c" }) {
        addHosts(state::host_kind::entry, dataCentre, 5);
        addHosts(state::host_kind::server, dataCentre, 3);
    }
    for (const auto& [server, assigned] : assignAll())
        EXPECT_EQ(std::accumulate(assigned.begin(), assigned.end(), 0U), slots) << server;
}

TEST_F(slot_assignment_test, Hosts_SameDataCentre_DifferByAtMostOneSlot)
{
    addHosts(state::host_kind::entry, "dc-a", 5);
    addHosts(state::host_kind::server, "dc-a", 3);
    std::vector<std::uint32_t> perHost(5, 0);
    for (const auto& [server, assigned] : assignAll()) {
        for (std::size_t host = 0; host < assigned.size(); ++host)
            perHost[host] += assigned[host];
    }
    const auto [least, most] = std::minmax_element(perHost.begin(), perHost.end());
    EXPECT_LE(*most - *least, 1U);
    EXPECT_EQ(std::accumulate(perHost.begin(), perHost.end(), 0U), 3 * slots);
}

TEST_F(slot_assignment_test, DataCentre_WithoutEntryHosts_IsAssignedToAllHosts)
{
    addHosts(state::host_kind::entry, "dc-a", 2);
    addHosts(state::host_kind::server, "dc-b", 1);
    EXPECT_EQ(assignAll()["server-dc-b-0"], (std::vector<std::uint32_t> { 2, 2 }));
}

TEST_F(slot_assignment_test, Host_Leaving_GetsNoSlots)
{
    addHosts(state::host_kind::entry, "dc-a", 2);
    addHosts(state::host_kind::server, "dc-a", 1);
    m_settings.hosts[0].listing = state::host_listing::leaving;
    EXPECT_EQ(assignAll()["server-dc-a-0"], (std::vector<std::uint32_t> { 0, 4 }));
}

TEST_F(slot_assignment_test, DataCentre_Evacuated_HasNoAssignedSlots)
{
    addHosts(state::host_kind::entry, "dc-a", 2);
    addHosts(state::host_kind::server, "dc-a", 1);
    m_settings.evacuatedDataCentres = { "dc-a" };
    EXPECT_EQ(assignAll()["server-dc-a-0"], (std::vector<std::uint32_t> { 0, 0 }));
}

} // namespace
} // namespace acaciaslip::coordination
