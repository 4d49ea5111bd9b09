#include "coordination/node_fixture.hpp"

namespace acaciaslip::coordination {
namespace {

class request_handling_test : public node_fixture { };

TEST_F(request_handling_test, Request_ServerAnswers_CallerGetsAnswer)
{
    serve(1);
    const auto id = arrive();
    finish(takeOne<send_attempt>().id, state::attempt_outcome::answered);
    EXPECT_EQ(takeOne<answer_caller>().id, id);
    EXPECT_EQ(inFlight(), 0U);
}

TEST_F(request_handling_test, Duplicate_KeyInFlight_RefusedAndFirstKeepsKey)
{
    serve(3);
    arrive({ .key = "k" });
    for (int again = 0; again < 2; ++again) {
        arrive({ .key = "k" });
        const auto refusal = takeOne<refuse_caller>();
        EXPECT_EQ(refusal.reason, state::refusal_reason::duplicate_key);
        EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    }
    finish(takeOne<send_attempt>().id, state::attempt_outcome::answered);
    arrive({ .key = "k" });
    EXPECT_EQ(take<send_attempt>().size(), 1U);
}

} // namespace
} // namespace acaciaslip::coordination
