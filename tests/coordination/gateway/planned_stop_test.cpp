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

TEST_F(planned_stop_test, Stop_NodeIdle_EndsWithinHalfTheGracePeriod)
{
    publishServers(3);
    handleEvent(stop_requested {});
    advanceTime(3s);
    EXPECT_EQ(takeEffects<node_stopped>().size(), 1U);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
