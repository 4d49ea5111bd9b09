#include "coordination/state_refresh.hpp"

#include "coordination/simulated_fleet.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

class state_refresh_test : public testing::Test {
protected:
    void SetUp() override
    {
        m_plan.publish(m_fleet);
        m_plan.startAll(m_fleet);
        m_fleet.run(5s);
        for (auto& server : m_fleet[m_id].fleet.servers)
            server.condition = state::server_condition::warm;
    }

    void pauseThroughDataCentreChange()
    {
        m_fleet.pause(m_id);
        m_fleet.publish(dataCentresKey, 2, "dc-0 dc-1");
        m_fleet.run(5s);
    }

    /// Resumes the node with a caller's request as the first event.
    void resumeWithRequest()
    {
        request_arrived arrived;
        arrived.id = state::request_id { 1 };
        arrived.path = "/service-0";
        arrived.timeout = 2s;
        m_fleet.members.at(m_id).paused = false;
        m_fleet.handle(m_id, arrived);
        m_fleet.resume(m_id);
    }

    /// Counts attempts that went to a data centre that had been taken out before the node resumed.
    std::size_t countAttemptsToRemovedDataCentres()
    {
        std::size_t count = 0;
        for (const auto& sent : m_fleet.members.at(m_id).sentAttempts) {
            const auto& fleet = m_fleet[m_id].fleet;
            const auto& server = fleet.servers[fleet.serverIndexes.at(std::get<send_attempt>(sent).server)];
            count += server.dataCentre != "dc-2" ? 1 : 0;
        }
        return count;
    }

    simulated_fleet m_fleet;
    fleet_layout m_plan;
    std::string m_id = "entry-000";
};

TEST_F(state_refresh_test, ResumedNode_DataCentreTakenOutDuringPause_RefreshesBeforeSending)
{
    pauseThroughDataCentreChange();
    resumeWithRequest();
    EXPECT_TRUE(isStateStale(m_fleet[m_id], m_fleet.now));
    EXPECT_TRUE(m_fleet.members.at(m_id).sentAttempts.empty());
    m_fleet.run(1s);
    EXPECT_EQ(m_fleet[m_id].values[state::value_key(dataCentresKey)].active.number, 2U);
    EXPECT_FALSE(m_fleet[m_id].refresh.usingStaleState);
    EXPECT_EQ(countAttemptsToRemovedDataCentres(), 0U);
    EXPECT_EQ(m_fleet[m_id].counters.processPauses, 1U);
}

TEST_F(state_refresh_test, ResumedNode_PlatformDown_RefreshesFromPeers)
{
    pauseThroughDataCentreChange();
    m_fleet.platform.unavailable = true;
    resumeWithRequest();
    m_fleet.run(250ms);
    EXPECT_FALSE(isStateStale(m_fleet[m_id], m_fleet.now));
    EXPECT_FALSE(m_fleet[m_id].refresh.usingStaleState);
    EXPECT_EQ(m_fleet[m_id].values[state::value_key(dataCentresKey)].active.number, 2U);
    EXPECT_EQ(countAttemptsToRemovedDataCentres(), 0U);
}

TEST_F(state_refresh_test, ResumedNode_NoReply_ProceedsWithStaleStateAfterTimeoutAndReportsIt)
{
    m_fleet.pause(m_id);
    m_fleet.run(2s);
    m_fleet.platform.unavailable = true;
    m_fleet.members.at(m_id).isolated = true;
    resumeWithRequest();
    EXPECT_TRUE(isStateStale(m_fleet[m_id], m_fleet.now));
    m_fleet.run(refreshTimeout + 2 * tickInterval);
    EXPECT_FALSE(isStateStale(m_fleet[m_id], m_fleet.now));
    EXPECT_TRUE(m_fleet[m_id].refresh.usingStaleState);
    EXPECT_EQ(m_fleet[m_id].refresh.timeouts, 1U);
}

TEST_F(state_refresh_test, ResumedNode_OnlyMessagesBufferedDuringPause_RefreshDoesNotEnd)
{
    pauseThroughDataCentreChange();
    m_fleet.platform.unavailable = true;
    m_fleet.members.at(m_id).isolated = true;
    m_fleet.resume(m_id);
    EXPECT_TRUE(isStateStale(m_fleet[m_id], m_fleet.now));
}

} // namespace
} // namespace acaciaslip::coordination
