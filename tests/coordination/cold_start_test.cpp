#include "coordination/cold_start.hpp"

#include "coordination/conditions.hpp"
#include "coordination/probe_results.hpp"
#include "coordination/server_tracking.hpp"
#include "coordination/simulated_nodes.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class cold_start_test : public testing::Test {
protected:
    void startNodes(std::size_t count, std::uint32_t slots = 4, std::size_t servers = 6)
    {
        m_published.services = { simulated_nodes::service("maps") };
        m_published.services[0].slots = slots;
        for (std::size_t index = 0; index < servers; ++index)
            m_published.hosts.push_back(simulated_nodes::serverHost(index, "maps", index % 3));
        for (std::size_t index = 0; index < count; ++index)
            m_published.hosts.push_back(simulated_nodes::entryHost(index));
        for (std::size_t index = 0; index < count; ++index)
            m_group.add(m_published);
        m_group.run(seconds { 5 });
    }

    state::server_record& server(std::size_t index, const std::string& id = "maps-0")
    {
        return m_group.server(index, id);
    }

    /// Sends one request from a node to a server and ends it with the given outcome after the given time.
    void finish(std::size_t index, state::attempt_outcome outcome, state::duration time = milliseconds { 10 },
        int status = 200, const std::string& id = "maps-0")
    {
        auto& self = m_group.at(index).self;
        const auto position = self.fleet.serverIndexes.at(id);
        const auto startedAt = m_group.now;
        recordAttemptStarted(self, position, startedAt);
        m_group.run(time);
        effect_list effects;
        recordAttemptFinished(self, position, { {}, outcome, status, nullptr }, startedAt, m_group.now, effects);
        m_group.send(index, effects);
    }

    void warmEverywhere(const std::string& id = "maps-0")
    {
        auto& self = m_group.at(0).self;
        effect_list effects;
        while (server(0, id).condition != state::server_condition::warm)
            raiseLimit(self, server(0, id), m_group.now, effects);
        m_group.send(0, effects);
        m_group.run(milliseconds { 50 });
    }

    void probe(std::size_t index, const probe_finished& finished) { m_group.handleEvent(index, finished); }

    std::size_t countIn(state::server_condition condition, const std::string& id = "maps-0")
    {
        std::size_t found = 0;
        for (std::size_t index = 0; index < m_group.size(); ++index)
            found += server(index, id).condition == condition ? 1 : 0;
        return found;
    }

    /// Completes requests successfully at every permit holder in turn until the server is warm, or after 100 responses.
    /// \return the number of successful responses
    int responsesUntilWarm()
    {
        int responses = 0;
        while (server(0).condition != state::server_condition::warm && responses < 100) {
            for (std::size_t index = 0; index < m_group.size(); ++index) {
                const bool isCold = server(index).condition == state::server_condition::cold;
                if (!isCold || coldAllowance(m_group.at(index).self, server(index), m_group.now) == 0)
                    continue;
                ++responses;
                finish(index, state::attempt_outcome::answered);
                m_group.run(milliseconds { 10 });
            }
        }
        return responses;
    }

    state::fleet_settings m_published;
    simulated_nodes m_group;
};

TEST_F(cold_start_test, ColdServer_TwoSlots_IsWarmAfterAtMostFiveResponses)
{
    startNodes(4, 2);
    EXPECT_LE(responsesUntilWarm(), 5);
    EXPECT_EQ(countIn(state::server_condition::warm), 4U);
}

TEST_F(cold_start_test, ColdServer_FourSlots_IsWarmAfterAtMostTenResponses)
{
    startNodes(5, 4);
    EXPECT_LE(responsesUntilWarm(), 10);
    EXPECT_EQ(countIn(state::server_condition::warm), 5U);
}

TEST_F(cold_start_test, ColdServer_AlwaysReportsCold_IsWarmAfterMoreResponses)
{
    startNodes(2, 2);
    for (std::size_t index = 0; index < 2; ++index)
        probe(index, { "maps-0", true, reported_health::cold, std::nullopt });
    EXPECT_EQ(responsesToRaiseLimit(server(0), m_group.now), 16U);
    EXPECT_LE(responsesUntilWarm(), 100);
}

TEST_F(cold_start_test, ResetToCold_DelayedLimitIncrease_IsIgnored)
{
    startNodes(3);
    warmEverywhere();
    const auto delayed = makeConditionChange(server(1), m_group.now);
    probe(0, { "maps-0", true, std::nullopt, reported_load { 0, 0, 4, "boot-1" } });
    probe(0, { "maps-0", true, std::nullopt, reported_load { 0, 0, 4, "boot-2" } });
    m_group.run(milliseconds { 20 });
    EXPECT_EQ(countIn(state::server_condition::cold), 3U);
    state::peer_message message;
    message.sender = "entry-2";
    message.conditions = { delayed };
    effect_list effects;
    applyPeerConditions(m_group.at(1).self, message, m_group.now, effects);
    EXPECT_EQ(server(1).condition, state::server_condition::cold);
    EXPECT_EQ(server(1).limit, 1U);
}

TEST_F(cold_start_test, ResetToCold_ResponseToEarlierRequest_IsNotCounted)
{
    startNodes(1);
    auto& self = m_group.at(0).self;
    const auto index = self.fleet.serverIndexes.at("maps-0");
    effect_list effects;
    for (int count = 0; count < 8; ++count)
        recordAttemptStarted(self, index, m_group.now);
    const auto startedAt = m_group.now;
    m_group.run(milliseconds { 10 });
    resetToCold(self, server(0), "restarted", m_group.now, effects);
    for (int count = 0; count < 8; ++count)
        recordAttemptFinished(self, index, { {}, state::attempt_outcome::answered, 200, nullptr }, startedAt,
            m_group.now + milliseconds { 5 }, effects);
    EXPECT_EQ(server(0).limit, 1U);
    EXPECT_EQ(server(0).successesAtLimit, 0U);
}

TEST_F(cold_start_test, LimitIncrease_MessageLost_IsResentWithHeartbeats)
{
    startNodes(3);
    m_group.isPartitioned = [](std::size_t, std::size_t) { return true; };
    warmEverywhere();
    EXPECT_EQ(countIn(state::server_condition::warm), 1U);
    m_group.isPartitioned = [](std::size_t, std::size_t) { return false; };
    m_group.run(seconds { 2 });
    EXPECT_EQ(countIn(state::server_condition::warm), 3U);
}

TEST_F(cold_start_test, Node_RestartsWithoutState_LearnsWarmServersFromPeers)
{
    startNodes(3);
    warmEverywhere();
    m_group.start(2, m_published);
    EXPECT_EQ(server(2).condition, state::server_condition::cold);
    m_group.run(seconds { 2 });
    EXPECT_EQ(server(2).condition, state::server_condition::warm);
}

TEST_F(cold_start_test, Server_BootIdChanges_IsResetOnceOnAllNodes)
{
    startNodes(3);
    for (std::size_t index = 0; index < 3; ++index)
        probe(index, { "maps-0", true, std::nullopt, reported_load { 0, 0, 4, "boot-1" } });
    warmEverywhere();
    probe(0, { "maps-0", true, std::nullopt, reported_load { 0, 0, 4, "boot-2" } });
    m_group.run(milliseconds { 20 });
    EXPECT_EQ(countIn(state::server_condition::cold), 3U);
    const auto epoch = server(0).epoch;
    // A second node reads the new boot id, and a third node reads the previous one from a stale endpoint.
    probe(1, { "maps-0", true, std::nullopt, reported_load { 0, 0, 4, "boot-2" } });
    probe(2, { "maps-0", true, std::nullopt, reported_load { 0, 0, 4, "boot-1" } });
    m_group.run(milliseconds { 20 });
    EXPECT_EQ(server(0).epoch, epoch);
    EXPECT_EQ(server(2).epoch, epoch);
}

TEST_F(cold_start_test, WarmServer_ShedsThreeInARow_IsColdOnAllNodes)
{
    startNodes(3);
    for (int number = 0; number < 6; ++number)
        warmEverywhere("maps-" + std::to_string(number));
    for (int count = 0; count < 3; ++count)
        finish(0, state::attempt_outcome::shed);
    m_group.run(milliseconds { 10 });
    EXPECT_EQ(countIn(state::server_condition::cold), 3U);
}

TEST_F(cold_start_test, WarmServer_RequestStalls_IsColdOnAllNodes)
{
    startNodes(2);
    for (int number = 0; number < 6; ++number)
        warmEverywhere("maps-" + std::to_string(number));
    auto& self = m_group.at(0).self;
    finish(0, state::attempt_outcome::answered);
    recordAttemptStarted(self, self.fleet.serverIndexes.at("maps-0"), m_group.now);
    m_group.run(milliseconds { 200 });
    EXPECT_EQ(server(0).condition, state::server_condition::warm);
    m_group.run(milliseconds { 200 });
    EXPECT_EQ(server(0).conditionReason, "stall");
    EXPECT_EQ(countIn(state::server_condition::cold), 2U);
}

TEST_F(cold_start_test, WarmServer_LatencyJumps_IsResetToCold)
{
    startNodes(2);
    for (int number = 0; number < 6; ++number)
        warmEverywhere("maps-" + std::to_string(number));
    for (int count = 0; count < 50; ++count)
        finish(0, state::attempt_outcome::answered, milliseconds { 10 });
    for (int count = 0; count < 8 && server(0).condition == state::server_condition::warm; ++count)
        finish(0, state::attempt_outcome::answered, milliseconds { 200 });
    EXPECT_EQ(server(0).conditionReason, "latency_jump");
}

TEST_F(cold_start_test, WarmServer_HealthReportsCold_IsColdOnAllNodes)
{
    startNodes(3);
    for (int number = 0; number < 6; ++number)
        warmEverywhere("maps-" + std::to_string(number));
    probe(1, { "maps-0", true, reported_health::cold, std::nullopt });
    m_group.run(milliseconds { 10 });
    EXPECT_EQ(countIn(state::server_condition::cold), 3U);
}

TEST_F(cold_start_test, WholeService_Overloaded_HalfOfServersStayWarm)
{
    startNodes(1);
    for (int number = 0; number < 6; ++number)
        warmEverywhere("maps-" + std::to_string(number));
    int warm = 0;
    for (int number = 0; number < 6; ++number) {
        const auto id = "maps-" + std::to_string(number);
        for (int count = 0; count < 5; ++count)
            finish(0, state::attempt_outcome::shed, milliseconds { 1 }, 503, id);
        warm += server(0, id).condition == state::server_condition::warm ? 1 : 0;
    }
    EXPECT_EQ(warm, 3);
}

TEST_F(cold_start_test, ColdServer_ShedsAboveLimitOne_IsResetAndNeedsMoreResponses)
{
    startNodes(1);
    finish(0, state::attempt_outcome::answered);
    finish(0, state::attempt_outcome::answered);
    EXPECT_EQ(server(0).limit, 2U);
    const auto before = responsesToRaiseLimit(server(0), m_group.now);
    finish(0, state::attempt_outcome::shed);
    EXPECT_EQ(server(0).limit, 1U);
    finish(0, state::attempt_outcome::answered);
    finish(0, state::attempt_outcome::answered);
    finish(0, state::attempt_outcome::shed);
    EXPECT_GT(responsesToRaiseLimit(server(0), m_group.now), before);
}

/// Condition changes must lead to the same state in any order and with any duplication.
TEST_F(cold_start_test, ConditionChanges_ReorderedAndDuplicated_LeadToSameState)
{
    startNodes(3);
    std::vector<state::condition_change> changes;
    effect_list effects;
    auto& source = m_group.at(0).self;
    for (int round = 0; round < 4; ++round) {
        raiseLimit(source, server(0), m_group.now, effects);
        changes.push_back(makeConditionChange(server(0), m_group.now));
        if (round % 2 == 1)
            resetToCold(source, server(0), "restarted", m_group.now, effects);
        changes.push_back(makeConditionChange(server(0), m_group.now));
    }
    random_generator random { 7 };
    for (int trial = 0; trial < 50; ++trial) {
        m_group.start(1, m_published);
        auto shuffled = changes;
        shuffled.insert(shuffled.end(), changes.begin(), changes.end());
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        for (const auto& change : shuffled) {
            state::peer_message message;
            message.sender = "entry-0";
            message.conditions = { change };
            applyPeerConditions(m_group.at(1).self, message, m_group.now, effects);
        }
        EXPECT_EQ(server(1).epoch, server(0).epoch);
        EXPECT_EQ(server(1).limit, server(0).limit);
        EXPECT_EQ(server(1).condition, server(0).condition);
    }
}

} // namespace
} // namespace acaciaslip::coordination
