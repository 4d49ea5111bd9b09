#include "coordination/picking.hpp"

#include "coordination/fleet_update.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"
#include "coordination/permits.hpp"
#include "coordination/slot_assignment.hpp"

#include <map>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

using std::chrono::milliseconds;

class picking_test : public testing::Test {
protected:
    picking_test()
    {
        m_settings.services.emplace_back().name = { "kierdicht", "routes" };
        for (int number = 0; number < 3; ++number) {
            state::host_record host;
            host.id = fmt::format("routes-{}", number);
            host.dataCentre = fmt::format("dc-{}", number);
            host.service = { "kierdicht", "routes" };
            m_settings.hosts.push_back(host);
        }
        apply();
        for (auto& server : m_node.fleet.servers) {
            server.condition = state::server_condition::warm;
            updateLatencyAverage(server.load, milliseconds { 5 }, m_now);
        }
    }

    void apply() { applySettings(m_node, m_settings, m_now); }

    state::server_record& server(int number) { return m_node.fleet.servers[static_cast<std::size_t>(number)]; }

    void addOwnRequests(int number, int count)
    {
        for (int added = 0; added < count; ++added) {
            ++server(number).ownInFlight;
            addInFlight(server(number).load, m_now);
        }
    }

    std::map<state::server_index, int> pickMany(int count)
    {
        std::map<state::server_index, int> picked;
        for (int number = 0; number < count; ++number) {
            const auto found = pickServer(m_node, m_request, m_now, m_random);
            if (found)
                ++picked[*found];
        }
        return picked;
    }

    /// Advances time until this node, the only entry host, may use the permits of cold servers.
    void awaitPermits()
    {
        updatePermitHosts(m_node, m_now);
        refreshPermits(m_node, m_now);
        m_now += hostTimeout + handoverDelay;
        refreshPermits(m_node, m_now);
        m_now += handoverDelay;
    }

    state::time_point m_now { std::chrono::seconds { 100 } };
    state::fleet_settings m_settings;
    node m_node = makeNode({}, 1, {});
    state::request m_request;
    random_generator m_random { 7 };
};

TEST_F(picking_test, EqualServers_ManyPicks_SpreadEvenly)
{
    const auto picked = pickMany(3000);
    ASSERT_EQ(picked.size(), 3U);
    for (const auto& [index, count] : picked)
        EXPECT_NEAR(count, 1000, 150) << index;
}

TEST_F(picking_test, ServerCold_OthersWarm_TakesOnePickInFour)
{
    awaitPermits();
    server(0).condition = state::server_condition::cold;
    updateLatencyAverage(server(0).load, milliseconds { 9 }, m_now);
    EXPECT_NEAR(pickMany(2000)[0], 500, 80);
}

TEST_F(picking_test, ServerCold_PermitInUse_IsNotPicked)
{
    awaitPermits();
    server(0).condition = state::server_condition::cold;
    EXPECT_TRUE(pickMany(200).contains(0));
    addOwnRequests(0, 1);
    EXPECT_FALSE(pickMany(200).contains(0));
}

TEST_F(picking_test, ServerTried_OnRetry_IsNotPickedAgain)
{
    m_request.excludedServers = { 0, 2 };
    EXPECT_EQ(pickMany(50), (std::map<state::server_index, int> { { 1, 50 } }));
}

TEST_F(picking_test, ServerSlow_LatencyMeasured_IsAvoided)
{
    for (int sample = 0; sample < 50; ++sample)
        updateLatencyAverage(server(0).load, milliseconds { 40 }, m_now);
    EXPECT_FALSE(pickMany(200).contains(0));
}

TEST_F(picking_test, ServerStalls_NoResponseYet_IsAvoided)
{
    addOwnRequests(0, 1);
    addOwnRequests(1, 2);
    addOwnRequests(2, 2);
    EXPECT_EQ(pickMany(50), (std::map<state::server_index, int> { { 0, 50 } }));
    for (const int number : { 1, 2 }) {
        server(number).load.inFlightSince.clear();
        server(number).ownInFlight = 0;
        addOwnRequests(number, 2);
    }
    m_now += milliseconds { 100 };
    for (const int number : { 1, 2 })
        server(number).load.inFlightSince = { m_now, m_now };
    EXPECT_FALSE(pickMany(50).contains(0));
}

TEST_F(picking_test, AssignedSlotFree_EqualLoad_IsUsedFirst)
{
    server(1).load.assignedSlots = 1;
    for (int number = 0; number < 3; ++number)
        updatePeerLoad(server(number).load, "entry-b", 2, m_now);
    EXPECT_EQ(pickMany(50), (std::map<state::server_index, int> { { 1, 50 } }));
}

TEST_F(picking_test, ServerLoaded_ByPeerCounts_IsAvoided)
{
    updatePeerLoad(server(0).load, "entry-b", 3, m_now);
    updatePeerLoad(server(1).load, "entry-b", 3, m_now);
    EXPECT_EQ(pickMany(50), (std::map<state::server_index, int> { { 2, 50 } }));
}

TEST_F(picking_test, AllServers_AtTheirLimit_NoneIsPicked)
{
    for (int number = 0; number < 3; ++number)
        addOwnRequests(number, 8);
    EXPECT_TRUE(pickMany(10).empty());
}

TEST_F(picking_test, ServerLeaving_OrDataCentreEvacuated_IsNotPicked)
{
    m_settings.hosts[0].listing = state::host_listing::leaving;
    m_settings.evacuatedDataCentres = { "dc-1" };
    apply();
    EXPECT_EQ(pickMany(50), (std::map<state::server_index, int> { { 2, 50 } }));
}

TEST_F(picking_test, ServerReportsDraining_OrIsEjected_IsNotPicked)
{
    server(0).report.emplace().draining = true;
    server(1).condition = state::server_condition::ejected;
    EXPECT_EQ(pickMany(50), (std::map<state::server_index, int> { { 2, 50 } }));
}

} // namespace
} // namespace acaciaslip::coordination
