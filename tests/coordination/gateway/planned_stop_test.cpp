#include "coordination/gateway/gateway_fixture.hpp"

namespace acaciaslip::coordination::gateway {
namespace {

class planned_stop_test : public gateway_fixture { };

TEST_F(planned_stop_test, Stop_Requested_NotReadyButStillServes)
{
    serve(3);
    happen(stop_requested {});
    EXPECT_FALSE(isReady(m_node));
    EXPECT_TRUE(sendOne().id != state::attempt_id {});
}

TEST_F(planned_stop_test, Stop_Requested_AnswersAskToConnectAnew)
{
    serve(3);
    happen(stop_requested {});
    finish(sendOne().id, state::attempt_outcome::answered, 200);
    EXPECT_TRUE(takeOne<answer_caller>().closeConnection);
}

TEST_F(planned_stop_test, Balancer_HasSeenIt_NewRequestsAreRefusedAsNotRun)
{
    serve(3);
    happen(stop_requested {});
    pass(2800ms);
    arrive();
    const auto refusal = takeOne<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::leaving);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
}

TEST_F(planned_stop_test, Request_InProgress_StopWaitsForItsAnswer)
{
    m_route.timeout = 5s;
    m_route.objective = 4s;
    serve(3);
    arrive("/a/x", 5s);
    answerAsks();
    const auto sent = takeOne<send_request>();
    happen(stop_requested {});
    pass(2800ms);
    EXPECT_TRUE(take<node_stopped>().empty());
    finish(sent.id, state::attempt_outcome::answered, 200);
    EXPECT_EQ(take<answer_caller>().size(), 1U);
    EXPECT_EQ(take<node_stopped>().size(), 1U);
}

TEST_F(planned_stop_test, Node_Idle_StopsWithinHalfTheGrace)
{
    serve(3);
    happen(stop_requested {});
    pass(3s);
    EXPECT_EQ(take<node_stopped>().size(), 1U);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
