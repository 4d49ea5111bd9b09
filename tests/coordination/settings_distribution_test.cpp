#include "coordination/simulated_fleet.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

const state::value_key firstTeam = "acaciaslip/teams/0";

class settings_distribution_test : public testing::Test {
protected:
    void startFleet(fleet_layout plan = {})
    {
        m_plan = plan;
        m_plan.publish(m_fleet);
        m_plan.startAll(m_fleet);
        m_fleet.run(5s);
    }

    state::revision activeRevision(const std::string& id, const state::value_key& key)
    {
        return m_fleet[id].values[key].active.number;
    }

    bool isServingEverywhere()
    {
        return std::all_of(m_fleet.members.begin(), m_fleet.members.end(),
            [](const auto& entry) { return entry.second.self->phase == node_phase::serving; });
    }

    bool hasActiveService(const std::string& id, const std::string& name)
    {
        const auto& fleet = m_fleet[id].fleet;
        const auto found = fleet.serviceIndexes.find(state::service_name { "team", name });
        return found != fleet.serviceIndexes.end() && fleet.services[found->second].active;
    }

    simulated_fleet m_fleet;
    fleet_layout m_plan;
    std::string m_first = "entry-000";
};

TEST_F(settings_distribution_test, Change_Published_IsActiveOnAllNodesWithinOneSecond)
{
    startFleet();
    ASSERT_TRUE(m_fleet.allNodesHave(firstTeam, 1));
    m_plan.changeTeam(m_fleet, 2);
    const auto duration = m_fleet.runUntil([&] { return m_fleet.allNodesHave(firstTeam, 2); }, 5s);
    ASSERT_TRUE(duration);
    EXPECT_LE(*duration, 1s);
}

TEST_F(settings_distribution_test, Change_WithPacketLoss_IsActiveOnAllNodesWithinFiveSeconds)
{
    random_generator random(9);
    m_fleet.dropsDatagram = [&](const auto& /*from*/, const auto& /*to*/) { return random(10) < 3; };
    startFleet();
    m_plan.changeTeam(m_fleet, 2);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allNodesHave(firstTeam, 2); }, 5s));
}

TEST_F(settings_distribution_test, Platform_ServesOldRevision_NewerRevisionsStayActive)
{
    startFleet();
    m_plan.changeTeam(m_fleet, 5);
    m_fleet.run(2s);
    ASSERT_TRUE(m_fleet.allNodesHave(firstTeam, 5));
    m_plan.changeTeam(m_fleet, 3);
    m_fleet.start("entry-004", m_plan.dataCentreOf(4));
    m_fleet.run(10s);
    EXPECT_TRUE(m_fleet.allNodesHave(firstTeam, 5));
    EXPECT_TRUE(m_fleet.allNodesHave(state::value_key(indexKey), 5));
}

TEST_F(settings_distribution_test, StartingNode_PlatformDown_ReadsNewestRevisionsFromSeedsBeforeServing)
{
    startFleet();
    m_plan.changeTeam(m_fleet, 2);
    m_fleet.run(2s);
    m_fleet.platform.unavailable = true;
    m_fleet.start(
        m_first, "dc-0", { simulated_fleet::addressOf("entry-001"), simulated_fleet::addressOf("entry-002") });
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet[m_first].phase == node_phase::serving; }, 5s));
    EXPECT_EQ(activeRevision(m_first, firstTeam), 2U);
}

TEST_F(settings_distribution_test, StartingNode_PlatformStale_ReadsNewestRevisionsFromPeersBeforeServing)
{
    startFleet();
    m_plan.changeTeam(m_fleet, 2);
    m_fleet.run(2s);
    m_plan.changeTeam(m_fleet, 1);
    m_fleet.start(m_first, "dc-0");
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet[m_first].phase == node_phase::serving; }, 5s));
    EXPECT_EQ(activeRevision(m_first, firstTeam), 2U);
    EXPECT_EQ(activeRevision(m_first, state::value_key(indexKey)), 2U);
}

TEST_F(settings_distribution_test, StartingNode_SeedUnreachable_ServesAfterBoundedWait)
{
    m_plan.publish(m_fleet);
    m_fleet.start(m_first, "dc-0", { "at-nobody" });
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet[m_first].phase == node_phase::serving; }, 4s));
}

TEST_F(settings_distribution_test, Change_PlatformUnreachableForAllNodesButOne_IsReadFromPeers)
{
    startFleet();
    for (auto& [id, member] : m_fleet.members)
        member.platformUnreachable = id != "entry-007";
    m_plan.changeTeam(m_fleet, 2);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allNodesHave(firstTeam, 2); }, 60s));
}

TEST_F(settings_distribution_test, Value_Invalid_LastValidOneStaysActiveAndReasonIsRecorded)
{
    startFleet();
    m_fleet.publish(templatesKey, 2, "bad");
    m_fleet.run(2s);
    EXPECT_TRUE(m_fleet.allNodesHave(state::value_key(templatesKey), 1));
    for (const auto& [id, member] : m_fleet.members) {
        EXPECT_EQ(member.self->values[state::value_key(templatesKey)].rejectionReason, "acaciaslip/templates is bad");
        EXPECT_TRUE(hasActiveService(id, "service-0"));
    }
}

TEST_F(settings_distribution_test, Team_ReadBeforeItsTemplates_IsValidatedAgainLater)
{
    startFleet();
    m_fleet.publish(firstTeam, 2, "service-0 2 9");
    m_fleet.publish(indexKey, 2, "acaciaslip/teams/0 2\n");
    m_fleet.run(2s);
    EXPECT_EQ(activeRevision(m_first, firstTeam), 1U);
    m_fleet.publish(templatesKey, 2, "2");
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allNodesHave(firstTeam, 2); }, 5s));
}

TEST_F(settings_distribution_test, Values_OnlyValidTogether_AreActivatedTogether)
{
    startFleet();
    for (const std::string team : { "0", "1", "2" })
        m_fleet.publish("acaciaslip/teams/" + team, 2, "service-" + team + " 20 29");
    m_fleet.publish(indexKey, 2, "acaciaslip/teams/0 2\nacaciaslip/teams/1 2\nacaciaslip/teams/2 2\n");
    m_fleet.publish(templatesKey, 2, "20");
    EXPECT_TRUE(m_fleet.runUntil(
        [&] { return m_fleet.allNodesHave(firstTeam, 2) && m_fleet.allNodesHave("acaciaslip/teams/2", 2); }, 5s));
    EXPECT_TRUE(m_fleet.allNodesHave(state::value_key(templatesKey), 2));
}

TEST_F(settings_distribution_test, Team_RemovedFromIndex_ItsServicesAreInactiveUntilItIsNamedAgain)
{
    startFleet();
    m_fleet.publish(indexKey, 2, "acaciaslip/teams/1 1\n");
    m_fleet.run(2s);
    EXPECT_FALSE(hasActiveService(m_first, "service-0"));
    EXPECT_TRUE(hasActiveService(m_first, "service-1"));
    m_fleet.publish(indexKey, 1, "acaciaslip/teams/0 1\n");
    m_fleet.run(40s);
    EXPECT_FALSE(hasActiveService(m_first, "service-0"));
    m_fleet.publish(indexKey, 3, "acaciaslip/teams/0 1\nacaciaslip/teams/1 1\n");
    m_fleet.run(2s);
    EXPECT_TRUE(hasActiveService(m_first, "service-0"));
}

/// Checks the guarantees of settings distribution for several fleet sizes.
class fleet_size_test : public testing::TestWithParam<std::size_t> {
protected:
    void SetUp() override
    {
        m_plan = { GetParam(), GetParam() == 16 ? 3U : 11U, 4, 12 };
        m_plan.publish(m_fleet);
    }

    bool isServingEverywhere()
    {
        return std::all_of(m_fleet.members.begin(), m_fleet.members.end(),
            [](const auto& entry) { return entry.second.self->phase == node_phase::serving; });
    }

    simulated_fleet m_fleet;
    fleet_layout m_plan;
};

TEST_P(fleet_size_test, StartChangeAndRestart_OfAllNodes_ChangeIsFastAndPlatformCallsStayWithinLimit)
{
    m_plan.startAll(m_fleet);
    ASSERT_TRUE(m_fleet.runUntil([&] { return isServingEverywhere(); }, 5s));
    m_plan.changeTeam(m_fleet, 2);
    const auto duration = m_fleet.runUntil([&] { return m_fleet.allNodesHave(firstTeam, 2); }, 5s);
    ASSERT_TRUE(duration);
    EXPECT_LE(*duration, 1s);
    m_plan.startAll(m_fleet);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allNodesHave(firstTeam, 2); }, 10s));
    EXPECT_LT(m_fleet.platform.countPeakCalls({}, m_fleet.now), 2000U);
}

TEST_P(fleet_size_test, Start_OfAllNodesWhilePlatformIsDown_PlatformCallsStayWithinLimit)
{
    m_fleet.platform.unavailable = true;
    m_plan.startAll(m_fleet);
    m_fleet.run(3s);
    EXPECT_LT(m_fleet.platform.countPeakCalls({}, m_fleet.now), 2000U);
    m_fleet.platform.unavailable = false;
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allNodesHave(firstTeam, 1); }, 20s));
}

TEST_P(fleet_size_test, ControlBytes_InEverySecond_StayWithinLimit)
{
    m_plan.startAll(m_fleet);
    for (int second = 0; second < 5; ++second) {
        std::map<std::string, std::uint64_t> before;
        for (const auto& [id, member] : m_fleet.members)
            before[id] = member.self->counters.controlBytesSent + member.self->counters.controlBytesReceived;
        if (second >= 3)
            m_plan.changeTeam(m_fleet, static_cast<state::revision>(second));
        m_fleet.run(1s);
        for (const auto& [id, member] : m_fleet.members) {
            const auto& counters = member.self->counters;
            EXPECT_LE(static_cast<double>(counters.controlBytesSent + counters.controlBytesReceived - before[id]),
                controlBytesPerSecond)
                << id << " in second " << second;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(sizes, fleet_size_test, testing::Values(16, 64, 256));

} // namespace
} // namespace acaciaslip::coordination
