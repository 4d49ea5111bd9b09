#include "coordination/gateway/gateway_fixture.hpp"

#include <set>

namespace acaciaslip::coordination::gateway {
namespace {

class fleet_view_test : public gateway_fixture {
protected:
    std::set<std::string> askedServers()
    {
        take<ask_server>();
        arrive();
        std::set<std::string> asked;
        for (const auto& ask : take<ask_server>())
            asked.insert(ask.server);
        return asked;
    }

    void change(const std::string& id, std::optional<state::gateway::server_entry> entry)
    {
        state::gateway::fleet_delta delta { false, m_revision, {} };
        delta.changes.asOf = nextRevision();
        delta.changes.servers[id] = { m_revision, std::move(entry) };
        happen(fleet_published { delta, fleet_source::store });
    }
};

TEST_F(fleet_view_test, Configuration_Read_NodeIsReady)
{
    serve(1);
    EXPECT_TRUE(isReady(m_node));
}

TEST_F(fleet_view_test, Server_Drains_NotAskedAnyMore)
{
    serve(2);
    auto entry = makeEntry(0);
    entry.draining = true;
    change("s0", entry);
    EXPECT_EQ(askedServers(), std::set<std::string> { "s1" });
}

TEST_F(fleet_view_test, Server_Unregistered_NotAskedAnyMore)
{
    serve(2);
    change("s0", std::nullopt);
    EXPECT_EQ(askedServers(), std::set<std::string> { "s1" });
}

TEST_F(fleet_view_test, Server_LapsesWhileTheStoreIsAway_UsedUntilItShouldBeBack)
{
    serve(2);
    happen(store_lost { "test" });
    m_published.servers["s0"] = { nextRevision(), std::nullopt };
    publish(fleet_source::peer);
    EXPECT_EQ(askedServers().size(), 2U);
    happen(store_regained {});
    EXPECT_EQ(askedServers().size(), 2U);
    m_now += 2100ms;
    EXPECT_EQ(askedServers(), std::set<std::string> { "s1" });
}

TEST_F(fleet_view_test, Server_BackAfterTheStoreReturned_StaysInUse)
{
    serve(1);
    happen(store_lost { "test" });
    m_published.servers["s0"] = { nextRevision(), std::nullopt };
    publish(fleet_source::peer);
    happen(store_regained {});
    change("s0", makeEntry(0));
    m_now += 5s;
    EXPECT_EQ(askedServers().size(), 1U);
}

TEST_F(fleet_view_test, Server_RestartsUnderItsId_NothingOfBeforeCounts)
{
    serve(1);
    m_node.servers.at("s0").failureShare = 1;
    auto entry = makeEntry(0);
    entry.startedAtUnixMs = 2000;
    entry.coldLeft = 3s;
    change("s0", entry);
    EXPECT_EQ(m_node.servers.at("s0").failureShare, 0);
    EXPECT_EQ(m_node.servers.at("s0").coldUntil, m_now + 3s);
}

TEST_F(fleet_view_test, Server_EarlierLifeWritesLate_IsIgnored)
{
    serve(1);
    auto entry = makeEntry(0);
    entry.startedAtUnixMs = 500;
    entry.address = "10.9.9.9:1";
    change("s0", entry);
    EXPECT_EQ(m_node.servers.at("s0").entry.address, makeEntry(0).address);
}

TEST_F(fleet_view_test, DataCentre_Evacuated_ItsServersAreLeftAloneUntilItIsTakenBack)
{
    serve(1);
    m_published.servers["s1"] = { nextRevision(), makeEntry(1, "dc-b") };
    m_published.evacuations["dc-b"] = { nextRevision(), state::gateway::evacuation {} };
    publish();
    EXPECT_EQ(askedServers(), std::set<std::string> { "s0" });
    m_published.evacuations["dc-b"] = { nextRevision(), std::nullopt };
    publish();
    EXPECT_EQ(askedServers().size(), 2U);
}

TEST_F(fleet_view_test, Request_RoutedBeforeAChange_KeepsItsRoute)
{
    serve(2);
    arrive();
    m_route.pathPrefix = "/elsewhere/";
    publishConfiguration();
    publish();
    answerAsks();
    EXPECT_EQ(take<send_request>().size(), 1U);
}

TEST_F(fleet_view_test, Server_SaysThatItIsCold_GetsOnlyItsTurns)
{
    serve(1);
    m_node.share = { 15, 0 };
    int sent = 0;
    for (int step = 0; step < 20; ++step) {
        arrive();
        for (const auto& ask : take<ask_server>())
            answerAsk(ask, idle(), 3s - step * 50ms);
        sent += static_cast<int>(take<send_request>().size());
        m_now += 50ms;
    }
    EXPECT_LE(sent, 1);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
