#include "coordination/gateway/gateway_fixture.hpp"
#include "coordination/gateway/server_health.hpp"

namespace acaciaslip::coordination::gateway {
namespace {

using state::attempt_outcome;

constexpr int serverError = 500;

/// Servers that refuse a request without stating that they have not executed it.
class unproven_refusal_test : public gateway_fixture, public testing::WithParamInterface<int> {
protected:
    unproven_refusal_test()
    {
        m_node.membership.startedAt -= 1min; // until `retryWindow` after its start a node repeats hardly anything
    }

    void publishBookings()
    {
        m_route.kind = request_kind::non_idempotent;
        publishServers(3);
    }

    void answerWithoutProof(const send_request& sent) { finishAttempt(sent.id, attempt_outcome::answered, GetParam()); }

    send_request takeRetry()
    {
        answerProbes();
        return takeEffect<send_request>();
    }

    void expectRefusedAsMayHaveRun(state::request_id request)
    {
        EXPECT_TRUE(takeEffects<answer_caller>().empty());
        const auto refusal = takeEffect<refuse_caller>();
        EXPECT_EQ(refusal.id, request);
        EXPECT_EQ(refusal.reason, state::refusal_reason::unproven_refusal);
        EXPECT_EQ(refusal.outcome, state::verdict::may_have_run);
    }
};

/// Guards against a request that is executed twice, because its caller takes the forwarded status as a guarantee that
/// it was not executed.
TEST_P(unproven_refusal_test, NonIdempotentRequest_Answered_RefusedAsMayHaveRunAndNotSentAgain)
{
    publishBookings();
    const auto sent = startAndSend();
    answerWithoutProof(sent);
    expectRefusedAsMayHaveRun(sent.request);
    EXPECT_EQ(takeEffect<discard_answer>().attempt, sent.id);
    advanceTime(2s);
    EXPECT_TRUE(takeEffects<send_request>().empty());
}

TEST_P(unproven_refusal_test, NonIdempotentRequest_AnsweredAfterProvenRefusal_RefusedAsMayHaveRun)
{
    publishBookings();
    const auto first = startAndSend();
    finishAttempt(first.id, attempt_outcome::shed, 503);
    answerWithoutProof(takeRetry());
    expectRefusedAsMayHaveRun(first.request);
}

TEST_P(unproven_refusal_test, IdempotentRequest_Answered_AnotherServerIsTried)
{
    publishServers(3);
    const auto first = startAndSend();
    answerWithoutProof(first);
    const auto second = takeRetry();
    EXPECT_NE(second.server, first.server);
    finishAttempt(second.id, attempt_outcome::answered, 200);
    EXPECT_EQ(takeEffect<answer_caller>().attempt, second.id);
}

TEST_P(unproven_refusal_test, IdempotentRequest_LastAttemptAnswered_RefusedAsMayHaveRun)
{
    m_route.attempts = 1;
    publishServers(3);
    const auto sent = startAndSend();
    answerWithoutProof(sent);
    expectRefusedAsMayHaveRun(sent.request);
}

TEST_P(unproven_refusal_test, IdempotentRequest_OtherServerFailedBefore_ItsAnswerIsReturned)
{
    publishServers(3);
    const auto first = startAndSend();
    finishAttempt(first.id, attempt_outcome::answered, serverError);
    answerWithoutProof(takeRetry());
    EXPECT_EQ(takeEffect<answer_caller>().attempt, first.id);
}

/// Only a response to an executed request shows that a limit has ended.
TEST_P(unproven_refusal_test, LimitedServer_Answers_LimitStays)
{
    publishBookings();
    const auto sent = startAndSend();
    m_node.servers.at(sent.server).limitPerSecond = 1;
    answerWithoutProof(sent);
    EXPECT_TRUE(m_node.servers.at(sent.server).limitPerSecond.has_value());
}

TEST_P(unproven_refusal_test, Server_Answers_CountsAsFailingAndTeachesNoServiceTime)
{
    publishBookings();
    const auto sent = startAndSend();
    advanceTime(1ms);
    answerWithoutProof(sent);
    EXPECT_GT(currentFailureRate(m_node.servers.at(sent.server), m_now), 0);
    EXPECT_FALSE(m_node.services.at("a").typicalServiceTime.has_value());
}

INSTANTIATE_TEST_SUITE_P(Statuses, unproven_refusal_test, testing::Values(408, 421, 429, 503));

} // namespace
} // namespace acaciaslip::coordination::gateway
