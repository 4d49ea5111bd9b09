#include "coordination/node_fixture.hpp"

namespace acaciaslip::coordination {
namespace {

using state::attempt_outcome;

class shutdown_test : public node_fixture { };

TEST_F(shutdown_test, LameDuck_NewRequest_ServedAndConnectionClosed)
{
    publishServers(1);
    handleEvent(drain_requested {});
    startRequest();
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::answered);
    EXPECT_TRUE(takeEffect<answer_caller>().closeConnection);
}

TEST_F(shutdown_test, Draining_NewRequest_RefusedAsNotRun)
{
    publishServers(1);
    startRequest();
    handleEvent(drain_requested {});
    advanceTime(110ms);
    startRequest();
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::leaving);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    EXPECT_GT(refusal.retryAfter, 0s);
}

TEST_F(shutdown_test, Draining_RequestsRunningAndWaiting_CompletedBeforeStop)
{
    publishServers(1);
    const auto running = fillServers();
    startRequest();
    handleEvent(drain_requested {});
    advanceTime(150ms);
    EXPECT_TRUE(takeEffects<node_stopped>().empty());
    for (const auto id : running)
        finishAttempt(id, attempt_outcome::answered);
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::answered);
    EXPECT_EQ(takeEffects<answer_caller>().size(), running.size() + 1);
    advanceTime(10ms);
    EXPECT_EQ(takeEffects<node_stopped>().size(), 1U);
}

TEST_F(shutdown_test, Attempt_OutlivesRequest_DelaysStopUntilOutcome)
{
    publishServers(1);
    startRequest({ .timeout = 120ms });
    handleEvent(drain_requested {});
    advanceTime(200ms);
    EXPECT_EQ(takeEffects<refuse_caller>().size(), 1U);
    EXPECT_TRUE(takeEffects<node_stopped>().empty());
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::cancelled);
    advanceTime(10ms);
    EXPECT_EQ(takeEffects<node_stopped>().size(), 1U);
}

TEST_F(shutdown_test, Attempt_OutcomeNeverArrives_StopDelayBoundedByLastDeadline)
{
    publishServers(1);
    startRequest({ .timeout = 1s });
    handleEvent(drain_requested {});
    advanceTime(4s);
    EXPECT_EQ(takeEffects<node_stopped>().size(), 1U);
}

TEST_F(shutdown_test, Drain_RequestedRepeatedly_HasNoFurtherEffect)
{
    publishServers(1);
    handleEvent(drain_requested {});
    advanceTime(50ms);
    handleEvent(drain_requested {});
    advanceTime(60ms);
    handleEvent(drain_requested {});
    advanceTime(500ms);
    EXPECT_EQ(takeEffects<node_stopped>().size(), 1U);
    EXPECT_EQ(m_node.phase, node_phase::stopped);
}

} // namespace
} // namespace acaciaslip::coordination
