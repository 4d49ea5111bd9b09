#include "coordination/gateway/fleet_clock.hpp"
#include "coordination/gateway/simulated_hosts.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

class fleet_clock_test : public testing::Test {
protected:
    /// Largest difference between the times of two hosts; the longest possible one if a host has no time.
    state::duration findSpread()
    {
        auto earliest = state::time_point::max();
        auto latest = state::time_point::min();
        for (const auto& [ip, node] : m_hosts.nodes) {
            const auto time = fleetTime(node, m_hosts.now);
            if (!time)
                return state::duration::max();
            earliest = std::min(earliest, *time);
            latest = std::max(latest, *time);
        }
        return latest - earliest;
    }

    simulated_hosts m_hosts { 10 };
};

TEST_F(fleet_clock_test, Hosts_StartTogether_AgreeWithinThreeSeconds)
{
    m_hosts.run(3s);
    EXPECT_LE(findSpread(), 50ms);
}

TEST_F(fleet_clock_test, Host_Restarts_AdoptsTimeOfFleetAndChangesItForNobody)
{
    m_hosts.run(20s);
    const auto before = *fleetTime(m_hosts.nodes.at(simulated_hosts::ipOf(0)), m_hosts.now) - m_hosts.now;
    m_hosts.nodes.erase(simulated_hosts::ipOf(5));
    m_hosts.run(2s);
    m_hosts.add(5, "c");
    m_hosts.run(1s);
    EXPECT_LE(findSpread(), 50ms);
    EXPECT_EQ(*fleetTime(m_hosts.nodes.at(simulated_hosts::ipOf(0)), m_hosts.now) - m_hosts.now, before);
}

/// Two parts of a fleet that start without each other each have a time; the part that is behind follows.
TEST_F(fleet_clock_test, Hosts_PartitionedAtStart_AgreeAfterTheyMeet)
{
    m_hosts.partitionedHosts.insert(simulated_hosts::ipOf(7));
    m_hosts.run(5s);
    m_hosts.partitionedHosts.clear();
    m_hosts.run(3s);
    EXPECT_LE(findSpread(), 50ms);
}

/// Guards against a node without peers that never sends to a server with a limit.
TEST(fleet_clock_single_test, Node_HasNoAddressForPeers_HasTimeAfterOneSecond)
{
    const state::time_point start { 1h };
    auto node = makeNode({}, start);
    random_generator random { 1 };
    effect_list effects;
    handle(node, timer_expired {}, start + 1s, random, effects);
    EXPECT_EQ(fleetTime(node, start + 3s), state::time_point { 3s });
}

TEST_F(fleet_clock_test, Time_OlderThanOwn_IsIgnored)
{
    auto& node = m_hosts.nodes.at(simulated_hosts::ipOf(0));
    adoptFleetTime(node, state::time_point { 10s }, m_hosts.now);
    adoptFleetTime(node, state::time_point { 9s }, m_hosts.now);
    adoptFleetTime(node, std::nullopt, m_hosts.now);
    EXPECT_EQ(fleetTime(node, m_hosts.now + 1s), state::time_point { 11s });
}

} // namespace
} // namespace acaciaslip::coordination::gateway
