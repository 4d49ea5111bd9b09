#include "coordination/ejection.hpp"

#include "coordination/conditions.hpp"
#include "coordination/picking.hpp"
#include "coordination/probe_results.hpp"
#include "coordination/server_tracking.hpp"
#include "coordination/simulated_nodes.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ejection_test : public testing::Test {
protected:
    ejection_test()
    {
        m_published.services = { simulated_nodes::service("maps") };
        for (std::size_t index = 0; index < 6; ++index)
            m_published.hosts.push_back(simulated_nodes::serverHost(index, "maps", index % 3));
        m_published.hosts.push_back(simulated_nodes::entryHost(0));
        m_group.add(m_published);
        m_group.run(seconds { 5 });
    }

    state::server_record& server(int number) { return m_group.server(0, "maps-" + std::to_string(number)); }

    void finish(int number, state::attempt_outcome outcome, int times, int status = 200)
    {
        auto& self = m_group.at(0).self;
        const auto index = self.fleet.serverIndexes.at("maps-" + std::to_string(number));
        effect_list effects;
        for (int count = 0; count < times; ++count) {
            recordAttemptStarted(self, index, m_group.now);
            recordAttemptFinished(self, index, { {}, outcome, status, nullptr }, m_group.now, m_group.now, effects);
        }
    }

    int countEligible()
    {
        int found = 0;
        for (int number = 0; number < 6; ++number)
            found += isEligible(server(number)) ? 1 : 0;
        return found;
    }

    state::fleet_settings m_published;
    simulated_nodes m_group;
};

TEST_F(ejection_test, ConnectFailures_ThreeInARow_EjectForABoundedTime)
{
    finish(0, state::attempt_outcome::connect_failed, 2);
    EXPECT_TRUE(isEligible(server(0)));
    finish(0, state::attempt_outcome::connect_failed, 1);
    EXPECT_FALSE(isEligible(server(0)));
    m_group.run(milliseconds { 1700 });
    EXPECT_TRUE(isEligible(server(0)));
    EXPECT_EQ(server(0).condition, state::server_condition::cold);
    EXPECT_EQ(server(0).limit, 1U);
}

TEST_F(ejection_test, ServerErrors_FiveInARow_Eject)
{
    finish(0, state::attempt_outcome::answered, 4, 500);
    EXPECT_TRUE(isEligible(server(0)));
    finish(0, state::attempt_outcome::answered, 1, 500);
    EXPECT_FALSE(isEligible(server(0)));
}

TEST_F(ejection_test, Failures_InterruptedBySuccess_DoNotEject)
{
    for (int round = 0; round < 5; ++round) {
        finish(0, state::attempt_outcome::cut, 4);
        finish(0, state::attempt_outcome::answered, 1);
    }
    EXPECT_TRUE(isEligible(server(0)));
}

TEST_F(ejection_test, Ejection_Repeated_TimeGrowsUpToMaximum)
{
    state::duration longest {};
    for (int round = 0; round < 8; ++round) {
        finish(0, state::attempt_outcome::connect_failed, 3);
        const auto time = server(0).ejectedUntil - m_group.now;
        EXPECT_GE(time, seconds { std::min(1 << round, 16) });
        EXPECT_LE(time, seconds { 24 });
        longest = std::max(longest, time);
        m_group.run(time + milliseconds { 110 });
    }
    EXPECT_GE(longest, seconds { 16 });
}

TEST_F(ejection_test, WholeService_Fails_HalfOfServersStayEligible)
{
    for (int number = 0; number < 6; ++number)
        finish(number, state::attempt_outcome::connect_failed, 10);
    EXPECT_EQ(countEligible(), 3);
}

TEST_F(ejection_test, WholeService_ReportsDraining_HalfOfServersStayEligible)
{
    for (int number = 0; number < 6; ++number)
        m_group.handleEvent(
            0, probe_finished { "maps-" + std::to_string(number), true, reported_health::draining, std::nullopt });
    EXPECT_EQ(countEligible(), 3);
}

TEST_F(ejection_test, Draining_ReportedToOneNode_StopsNewRequestsOnAllNodes)
{
    m_published.hosts.push_back(simulated_nodes::entryHost(1));
    m_group.publish(m_published);
    m_group.add(m_published);
    m_group.run(milliseconds { 500 });
    m_group.handleEvent(0, probe_finished { "maps-2", true, reported_health::draining, std::nullopt });
    m_group.run(milliseconds { 20 });
    EXPECT_FALSE(isEligible(m_group.server(1, "maps-2")));
    m_group.handleEvent(0, probe_finished { "maps-2", true, reported_health::live, std::nullopt });
    m_group.run(milliseconds { 20 });
    EXPECT_TRUE(isEligible(m_group.server(1, "maps-2")));
}

TEST_F(ejection_test, Draining_NotConfirmed_Expires)
{
    m_group.handleEvent(0, probe_finished { "maps-2", true, reported_health::draining, std::nullopt });
    EXPECT_FALSE(isEligible(server(2)));
    m_group.run(seconds { 11 });
    EXPECT_TRUE(isEligible(server(2)));
}

} // namespace
} // namespace acaciaslip::coordination
