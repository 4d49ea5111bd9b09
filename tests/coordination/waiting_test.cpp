#include "coordination/waiting.hpp"

#include "coordination/deadlines.hpp"
#include "coordination/freshness.hpp"
#include "coordination/node_fixture.hpp"

namespace acaciaslip::coordination {
namespace {

using state::attempt_outcome;

class waiting_test : public node_fixture {
protected:
    std::vector<state::attempt_id> fillSingleServer()
    {
        serve(1);
        return fill();
    }
};

TEST_F(waiting_test, Queue_ServerFull_EarliestDeadlineSentFirst)
{
    const auto running = fillSingleServer();
    const auto late = arrive({ .timeout = 900ms });
    const auto early = arrive({ .timeout = 300ms });
    finish(running.front(), attempt_outcome::answered);
    const auto second = takeOne<send_attempt>();
    EXPECT_EQ(requestOf(second.id), early);
    finish(second.id, attempt_outcome::answered);
    EXPECT_EQ(requestOf(takeOne<send_attempt>().id), late);
}

TEST_F(waiting_test, MaximumWait_Exceeded_RefusedAsNotRunWithJitteredRetryAfter)
{
    m_service.wait = 100ms;
    fillSingleServer();
    arrive();
    arrive();
    pass(100ms);
    const auto refusals = take<refuse_caller>();
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
    arrive();
    arrive();
    EXPECT_TRUE(take<refuse_caller>().empty());
    arrive();
    EXPECT_EQ(takeOne<refuse_caller>().reason, state::refusal_reason::overloaded);
}

TEST_F(waiting_test, ExpectedWait_ExceedsDeadline_RefusedOnArrival)
{
    auto running = fillSingleServer();
    for (int departure = 0; departure < 10; ++departure) {
        arrive();
        pass(50ms);
        finish(running.front(), attempt_outcome::answered);
        running.erase(running.begin());
        running.push_back(takeOne<send_attempt>().id);
    }
    take<answer_caller>();
    arrive({ .timeout = 200ms });
    arrive({ .timeout = 200ms });
    EXPECT_TRUE(take<refuse_caller>().empty());
    arrive({ .timeout = 80ms });
    EXPECT_TRUE(take<refuse_caller>().empty()) << "a request with an earlier deadline is placed ahead of the others";
    arrive({ .timeout = 90ms });
    EXPECT_EQ(takeOne<refuse_caller>().reason, state::refusal_reason::overloaded);
}

TEST_F(waiting_test, Queue_AttemptOfOtherServiceEnds_NotDispatched)
{
    const auto running = fillSingleServer();
    arrive();
    auto other = m_service;
    other.name.name = "b";
    other.pathPrefix = "/b";
    m_published->services.push_back(other);
    m_published->hosts.push_back(
        { "t0", "t0:1", "dc-a", state::host_kind::server, other.name, state::host_listing::live, "" });
    publish();
    warmUp();
    arrive({ .path = "/b" });
    finish(takeOne<send_attempt>().id, attempt_outcome::answered);
    EXPECT_TRUE(take<send_attempt>().empty());
    finish(running.front(), attempt_outcome::answered);
    EXPECT_EQ(take<send_attempt>().size(), 1U);
}

TEST_F(waiting_test, Queue_CapacityAddedWithoutOutcome_DispatchedOnTick)
{
    fillSingleServer();
    arrive();
    m_published->hosts.push_back(
        { "s9", "s9:1", "dc-a", state::host_kind::server, m_service.name, state::host_listing::live, "" });
    publish();
    warmUp();
    pass(10ms);
    EXPECT_EQ(takeOne<send_attempt>().server, "s9");
}

TEST_F(waiting_test, StaleState_NewRequest_WaitsForBoundedTimeAndNotRefused)
{
    serve(1);
    m_node.suspectSince = m_now;
    const auto id = arrive();
    EXPECT_TRUE(take<send_attempt>().empty());
    EXPECT_TRUE(take<refuse_caller>().empty());
    pass(refreshBound + 10ms);
    const auto sent = takeOne<send_attempt>();
    EXPECT_EQ(requestOf(sent.id), id);
}

TEST_F(waiting_test, StaleState_NoEligibleServer_RequestWaitsForRefresh)
{
    serve(1);
    m_published->dataCentresOut = { "dc-a" };
    publish();
    m_node.suspectSince = m_now;
    arrive();
    EXPECT_TRUE(take<refuse_caller>().empty());
    m_published->dataCentresOut.clear();
    publish();
    warmUp();
    pass(refreshBound + 10ms);
    EXPECT_EQ(take<send_attempt>().size(), 1U);
}

TEST_F(waiting_test, NextWakeUp_RequestsWaiting_IsEarliestDueTime)
{
    m_service.wait = 100ms;
    fillSingleServer();
    const auto at = m_now;
    arrive();
    EXPECT_EQ(nextWakeUp(m_node.requests), at + 100ms);
    arrive({ .timeout = 30ms });
    EXPECT_EQ(nextWakeUp(m_node.requests), at + 30ms);
}

} // namespace
} // namespace acaciaslip::coordination
