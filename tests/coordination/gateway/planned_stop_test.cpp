#include "coordination/gateway/gateway_fixture.hpp"

namespace acaciaslip::coordination::gateway {
namespace {

class planned_stop_test : public gateway_fixture { };

TEST_F(planned_stop_test, Stop_Requested_NodeIsNotReadyButStillServes)
{
    publishServers(3);
    handleEvent(stop_requested {});
    EXPECT_FALSE(isReady(m_node));
    EXPECT_TRUE(startAndSend().id != state::attempt_id {});
}

TEST_F(planned_stop_test, Stop_Requested_AnswersCloseTheConnection)
{
    publishServers(3);
    handleEvent(stop_requested {});
    finishAttempt(startAndSend().id, state::attempt_outcome::answered, 200);
    EXPECT_TRUE(takeEffect<answer_caller>().closeConnection);
}

TEST_F(planned_stop_test, Stop_LoadBalancerNoticePeriodOver_NewRequestsAreRefusedAsNotRun)
{
    publishServers(3);
    handleEvent(stop_requested {});
    advanceTime(2800ms);
    startRequest();
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::leaving);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
}

TEST_F(planned_stop_test, Stop_RequestInProgress_WaitsForItsAnswer)
{
    m_route.timeout = 5s;
    m_route.objective = 4s;
    publishServers(3);
    startRequest("/a/x", 5s);
    answerProbes();
    const auto sent = takeEffect<send_request>();
    handleEvent(stop_requested {});
    advanceTime(2800ms);
    EXPECT_TRUE(takeEffects<node_stopped>().empty());
    finishAttempt(sent.id, state::attempt_outcome::answered, 200);
    EXPECT_EQ(takeEffects<answer_caller>().size(), 1U);
    EXPECT_EQ(takeEffects<node_stopped>().size(), 1U);
}

/// Guards against requests that come late in the grace period, are passed on, and are cut when the process is killed.
TEST_F(planned_stop_test, Stop_RequestWouldOutlastGracePeriod_IsRefusedAsNotRun)
{
    m_route.objective = 12s;
    m_route.timeout = 20s;
    publishServers(3);
    m_node.services["a"].typicalServiceTime = 2s;
    handleEvent(stop_requested {});
    advanceTime(1s);
    startRequest("/a/x", 20s);
    answerProbes();
    EXPECT_EQ(takeEffects<send_request>().size(), 1U) << "it ends in time";
    advanceTime(1s);
    startRequest("/a/x", 20s);
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::leaving);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
}

/// A request may have come in time and still wait for a server that is good enough.
TEST_F(planned_stop_test, Stop_RequestWaitsUntilLateInGracePeriod_IsNotSent)
{
    m_route.objective = 12s;
    m_route.timeout = 20s;
    publishServers(3);
    m_node.services["a"].typicalServiceTime = 1s;
    handleEvent(stop_requested {});
    startRequest("/a/x", 20s);
    for (int step = 0; step < 55; ++step) {
        for (const auto& probe : takeEffects<probe_server>())
            answerProbe(probe, fullReport(40));
        advanceTime(100ms);
        EXPECT_TRUE(takeEffects<send_request>().empty()) << step;
    }
    answerProbes();
    advanceTime(300ms);
    EXPECT_TRUE(takeEffects<send_request>().empty());
    EXPECT_EQ(takeEffect<refuse_caller>().outcome, state::verdict::not_run);
}

TEST_F(planned_stop_test, Stop_NodeIdle_EndsWithinHalfTheGracePeriod)
{
    publishServers(3);
    handleEvent(stop_requested {});
    advanceTime(3s);
    EXPECT_EQ(takeEffects<node_stopped>().size(), 1U);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
