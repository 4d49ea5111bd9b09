#include "coordination/node_fixture.hpp"

namespace acaciaslip::coordination {
namespace {

using state::attempt_outcome;

class stopping_test : public node_fixture { };

TEST_F(stopping_test, LameDuck_NewRequest_ServedAndConnectionClosed)
{
    serve(1);
    happen(drain_requested {});
    arrive();
    finish(takeOne<send_attempt>().id, attempt_outcome::answered);
    EXPECT_TRUE(takeOne<answer_caller>().closeConnection);
}

TEST_F(stopping_test, Draining_NewRequest_RefusedAsNotRun)
{
    serve(1);
    arrive();
    happen(drain_requested {});
    pass(110ms);
    arrive();
    const auto refusal = takeOne<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::leaving);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    EXPECT_GT(refusal.retryAfter, 0s);
}

TEST_F(stopping_test, Draining_RequestsRunningAndWaiting_CompletedBeforeStop)
{
    serve(1);
    const auto running = fill();
    arrive();
    happen(drain_requested {});
    pass(150ms);
    EXPECT_TRUE(take<node_stopped>().empty());
    for (const auto id : running)
        finish(id, attempt_outcome::answered);
    finish(takeOne<send_attempt>().id, attempt_outcome::answered);
    EXPECT_EQ(take<answer_caller>().size(), running.size() + 1);
    pass(10ms);
    EXPECT_EQ(take<node_stopped>().size(), 1U);
}

TEST_F(stopping_test, Attempt_OutlivesRequest_DelaysStopUntilOutcome)
{
    serve(1);
    arrive({ .timeout = 120ms });
    happen(drain_requested {});
    pass(200ms);
    EXPECT_EQ(take<refuse_caller>().size(), 1U);
    EXPECT_TRUE(take<node_stopped>().empty());
    finish(takeOne<send_attempt>().id, attempt_outcome::cancelled);
    pass(10ms);
    EXPECT_EQ(take<node_stopped>().size(), 1U);
}

TEST_F(stopping_test, Attempt_OutcomeNeverArrives_StopDelayBoundedByLastDeadline)
{
    serve(1);
    arrive({ .timeout = 1s });
    happen(drain_requested {});
    pass(4s);
    EXPECT_EQ(take<node_stopped>().size(), 1U);
}

TEST_F(stopping_test, Drain_RequestedRepeatedly_HasNoFurtherEffect)
{
    serve(1);
    happen(drain_requested {});
    pass(50ms);
    happen(drain_requested {});
    pass(60ms);
    happen(drain_requested {});
    pass(500ms);
    EXPECT_EQ(take<node_stopped>().size(), 1U);
    EXPECT_EQ(m_node.phase, node_phase::stopped);
}

} // namespace
} // namespace acaciaslip::coordination
