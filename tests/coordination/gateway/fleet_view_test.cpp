#include "coordination/gateway/gateway_fixture.hpp"

namespace acaciaslip::coordination::gateway {
namespace {

class fleet_view_test : public gateway_fixture { };

TEST_F(fleet_view_test, Configuration_Received_NodeIsReady)
{
    publishServers(1);
    EXPECT_TRUE(isReady(m_node));
}

TEST_F(fleet_view_test, Server_Draining_IsNotProbed)
{
    publishServers(2);
    auto entry = makeEntry(0);
    entry.draining = true;
    publishServerChange("s0", entry);
    EXPECT_EQ(probedServers(), std::set<std::string> { "s1" });
}

TEST_F(fleet_view_test, Server_Unregistered_IsNotProbed)
{
    publishServers(2);
    publishServerChange("s0", std::nullopt);
    EXPECT_EQ(probedServers(), std::set<std::string> { "s1" });
}

TEST_F(fleet_view_test, Server_EntryExpiresDuringStoreOutage_StaysInUseUntilGracePeriodEnds)
{
    publishServers(2);
    handleEvent(store_lost { "test" });
    m_published.servers["s0"] = { nextRevision(), std::nullopt };
    publish(fleet_source::peer);
    EXPECT_EQ(probedServers().size(), 2U);
    handleEvent(store_recovered {});
    EXPECT_EQ(probedServers().size(), 2U);
    m_now += 2100ms;
    EXPECT_EQ(probedServers(), std::set<std::string> { "s1" });
}

TEST_F(fleet_view_test, Server_RegisteredAgainAfterStoreOutage_StaysInUse)
{
    publishServers(1);
    handleEvent(store_lost { "test" });
    m_published.servers["s0"] = { nextRevision(), std::nullopt };
    publish(fleet_source::peer);
    handleEvent(store_recovered {});
    publishServerChange("s0", makeEntry(0));
    m_now += 5s;
    EXPECT_EQ(probedServers().size(), 1U);
}

TEST_F(fleet_view_test, Server_RestartedWithSameId_EarlierStateIsDiscarded)
{
    publishServers(1);
    m_node.servers.at("s0").failureRate = 1;
    auto entry = makeEntry(0);
    entry.startedAtUnixMs = 2000;
    entry.coldRemaining = 3s;
    publishServerChange("s0", entry);
    EXPECT_EQ(m_node.servers.at("s0").failureRate, 0);
    EXPECT_EQ(m_node.servers.at("s0").coldUntil, m_now + 3s);
}

TEST_F(fleet_view_test, Server_EntryOfEarlierStartArrivesLate_IsIgnored)
{
    publishServers(1);
    auto entry = makeEntry(0);
    entry.startedAtUnixMs = 500;
    entry.address = "10.9.9.9:1";
    publishServerChange("s0", entry);
    EXPECT_EQ(m_node.servers.at("s0").entry.address, makeEntry(0).address);
}

TEST_F(fleet_view_test, DataCentre_Evacuated_ItsServersAreNotProbedUntilEvacuationEnds)
{
    publishServers(1);
    m_published.servers["s1"] = { nextRevision(), makeEntry(1, "dc-b") };
    m_published.evacuations["dc-b"] = { nextRevision(), state::gateway::evacuation {} };
    publish();
    EXPECT_EQ(probedServers(), std::set<std::string> { "s0" });
    m_published.evacuations["dc-b"] = { nextRevision(), std::nullopt };
    publish();
    EXPECT_EQ(probedServers().size(), 2U);
}

TEST_F(fleet_view_test, Request_RoutedBeforeConfigurationChange_KeepsItsRoute)
{
    publishServers(2);
    startRequest();
    m_route.pathPrefix = "/elsewhere/";
    publishConfiguration();
    publish();
    answerProbes();
    EXPECT_EQ(takeEffects<send_request>().size(), 1U);
}

TEST_F(fleet_view_test, Server_ReportsColdInProbe_ReceivesOnlyItsColdRate)
{
    publishServers(1);
    m_node.share = { 15, 0 };
    int sent = 0;
    for (int step = 0; step < 20; ++step) {
        startRequest();
        for (const auto& probe : takeEffects<probe_server>())
            answerProbe(probe, idleReport(), 3s - step * 50ms);
        sent += static_cast<int>(takeEffects<send_request>().size());
        m_now += 50ms;
    }
    EXPECT_LE(sent, 1);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
