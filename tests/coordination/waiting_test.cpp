#include "coordination/waiting.hpp"

#include "coordination/deadlines.hpp"
#include "coordination/node_fixture.hpp"
#include "coordination/state_refresh.hpp"

namespace acaciaslip::coordination {
namespace {

using state::attempt_outcome;

class waiting_test : public node_fixture {
protected:
    std::vector<state::attempt_id> fillSingleServer()
    {
        publishServers(1);
        return fillServers();
    }
};

TEST_F(waiting_test, Queue_ServerFull_EarliestDeadlineSentFirst)
{
    const auto running = fillSingleServer();
    const auto late = startRequest({ .timeout = 900ms });
    const auto early = startRequest({ .timeout = 300ms });
    finishAttempt(running.front(), attempt_outcome::answered);
    const auto second = takeEffect<send_attempt>();
    EXPECT_EQ(requestOf(second.id), early);
    finishAttempt(second.id, attempt_outcome::answered);
    EXPECT_EQ(requestOf(takeEffect<send_attempt>().id), late);
}

TEST_F(waiting_test, MaximumWait_Exceeded_RefusedAsNotRunWithJitteredRetryAfter)
{
    m_service.wait = 100ms;
    fillSingleServer();
    startRequest();
    startRequest();
    advanceTime(100ms);
    const auto refusals = takeEffects<refuse_caller>();
    ASSERT_EQ(refusals.size(), 2U);
    EXPECT_EQ(refusals[0].reason, state::refusal_reason::overloaded);
    EXPECT_EQ(refusals[0].outcome, state::verdict::not_run);
    EXPECT_GT(refusals[0].retryAfter, 0s);
    EXPECT_NE(refusals[0].retryAfter, refusals[1].retryAfter);
    EXPECT_TRUE(m_node.fleet.services[0].activity.waiting.empty());
}

TEST_F(waiting_test, Queue_Full_RefusedAtOnce)
{
    m_service.maxWaiting = 2;
    fillSingleServer();
    startRequest();
    startRequest();
    EXPECT_TRUE(takeEffects<refuse_caller>().empty());
    startRequest();
    EXPECT_EQ(takeEffect<refuse_caller>().reason, state::refusal_reason::overloaded);
}

TEST_F(waiting_test, ExpectedWait_ExceedsDeadline_RefusedOnArrival)
{
    auto running = fillSingleServer();
    for (int departure = 0; departure < 10; ++departure) {
        startRequest();
        advanceTime(50ms);
        finishAttempt(running.front(), attempt_outcome::answered);
        running.erase(running.begin());
        running.push_back(takeEffect<send_attempt>().id);
    }
    takeEffects<answer_caller>();
    startRequest({ .timeout = 200ms });
    startRequest({ .timeout = 200ms });
    EXPECT_TRUE(takeEffects<refuse_caller>().empty());
    startRequest({ .timeout = 80ms });
    EXPECT_TRUE(takeEffects<refuse_caller>().empty())
        << "a request with an earlier deadline is placed ahead of the others";
    startRequest({ .timeout = 90ms });
    EXPECT_EQ(takeEffect<refuse_caller>().reason, state::refusal_reason::overloaded);
}

TEST_F(waiting_test, Queue_AttemptOfOtherServiceEnds_NotDispatched)
{
    const auto running = fillSingleServer();
    startRequest();
    auto other = m_service;
    other.name.name = "b";
    other.pathPrefix = "/b";
    m_published->services.push_back(other);
    m_published->hosts.push_back(
        { "t0", "t0:1", "dc-a", state::host_kind::server, other.name, state::host_listing::live, "" });
    publish();
    markServersWarm();
    startRequest({ .path = "/b" });
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::answered);
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
    finishAttempt(running.front(), attempt_outcome::answered);
    EXPECT_EQ(takeEffects<send_attempt>().size(), 1U);
}

TEST_F(waiting_test, Queue_CapacityAddedWithoutOutcome_DispatchedOnTick)
{
    fillSingleServer();
    startRequest();
    m_published->hosts.push_back(
        { "s9", "s9:1", "dc-a", state::host_kind::server, m_service.name, state::host_listing::live, "" });
    publish();
    markServersWarm();
    advanceTime(10ms);
    EXPECT_EQ(takeEffect<send_attempt>().server, "s9");
}

TEST_F(waiting_test, StaleState_NewRequest_WaitsForBoundedTimeAndNotRefused)
{
    publishServers(1);
    m_node.staleSince = m_now;
    const auto id = startRequest();
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
    EXPECT_TRUE(takeEffects<refuse_caller>().empty());
    advanceTime(refreshTimeout + 10ms);
    const auto sent = takeEffect<send_attempt>();
    EXPECT_EQ(requestOf(sent.id), id);
}

TEST_F(waiting_test, StaleState_NoEligibleServer_RequestWaitsForRefresh)
{
    publishServers(1);
    m_published->evacuatedDataCentres = { "dc-a" };
    publish();
    m_node.staleSince = m_now;
    startRequest();
    EXPECT_TRUE(takeEffects<refuse_caller>().empty());
    m_published->evacuatedDataCentres.clear();
    publish();
    markServersWarm();
    advanceTime(refreshTimeout + 10ms);
    EXPECT_EQ(takeEffects<send_attempt>().size(), 1U);
}

TEST_F(waiting_test, NextWakeUp_RequestsWaiting_IsEarliestDueTime)
{
    m_service.wait = 100ms;
    fillSingleServer();
    const auto at = m_now;
    startRequest();
    EXPECT_EQ(nextWakeUp(m_node.requests), at + 100ms);
    startRequest({ .timeout = 30ms });
    EXPECT_EQ(nextWakeUp(m_node.requests), at + 30ms);
}

} // namespace
} // namespace acaciaslip::coordination
