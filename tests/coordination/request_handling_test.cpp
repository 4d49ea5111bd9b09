#include "coordination/node_fixture.hpp"

namespace acaciaslip::coordination {
namespace {

class request_handling_test : public node_fixture { };

TEST_F(request_handling_test, Request_ServerAnswers_CallerReceivesAnswer)
{
    serve(1);
    const auto id = arrive();
    finish(takeOne<send_attempt>().id, state::attempt_outcome::answered);
    EXPECT_EQ(takeOne<answer_caller>().id, id);
    EXPECT_EQ(inFlight(), 0U);
}

TEST_F(request_handling_test, DuplicateKey_FirstRequestInFlight_RefusedAndFirstKeepsKey)
{
    serve(3);
    arrive({ .key = "k" });
    for (int repeat = 0; repeat < 2; ++repeat) {
        arrive({ .key = "k" });
        const auto refusal = takeOne<refuse_caller>();
        EXPECT_EQ(refusal.reason, state::refusal_reason::duplicate_key);
        EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    }
    finish(takeOne<send_attempt>().id, state::attempt_outcome::answered);
    arrive({ .key = "k" });
    EXPECT_EQ(take<send_attempt>().size(), 1U);
}

TEST_F(request_handling_test, IdempotencyKey_AttemptOutlivesRequest_HeldUntilAttemptEnds)
{
    serve(2);
    arrive({ .key = "k", .timeout = 50ms });
    const auto sent = takeOne<send_attempt>();
    pass(60ms);
    EXPECT_EQ(takeOne<refuse_caller>().outcome, state::verdict::may_have_run);
    arrive({ .key = "k" });
    EXPECT_EQ(takeOne<refuse_caller>().reason, state::refusal_reason::duplicate_key);
    finish(sent.id, state::attempt_outcome::cancelled);
    arrive({ .key = "k" });
    EXPECT_EQ(take<send_attempt>().size(), 1U);
}

TEST_F(request_handling_test, IdempotencyKey_LongerThanStored_DuplicatesStillDetected)
{
    serve(3);
    const std::string prefix(100'000, 'x');
    arrive({ .key = prefix + "1" });
    arrive({ .key = prefix + "2" });
    EXPECT_EQ(take<send_attempt>().size(), 2U);
    arrive({ .key = prefix + "1" });
    EXPECT_EQ(takeOne<refuse_caller>().reason, state::refusal_reason::duplicate_key);
    for (const auto& [key, holder] : m_node.requests.keys)
        EXPECT_LT(key.size(), 200U);
}

TEST_F(request_handling_test, Deadline_AttemptRunning_RefusedAtOnceAsMayHaveRunAndAttemptCancelled)
{
    serve(1);
    arrive({ .timeout = 50ms });
    const auto sent = takeOne<send_attempt>();
    pass(50ms, 50ms);
    const auto refusal = takeOne<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::deadline_exceeded);
    EXPECT_EQ(refusal.outcome, state::verdict::may_have_run);
    EXPECT_EQ(takeOne<cancel_attempt>().id, sent.id);
}

TEST_F(request_handling_test, Deadline_NothingSent_RefusedAsNotRun)
{
    m_service.wait = 1s;
    serve(1);
    fill();
    arrive({ .timeout = 50ms });
    pass(50ms);
    const auto refusal = takeOne<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::deadline_exceeded);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    EXPECT_EQ(refusal.attempts, 0U);
}

TEST_F(request_handling_test, Deadline_AlreadyPassed_RefusedWithoutAttempt)
{
    serve(1);
    arrive({ .timeout = 0ms });
    EXPECT_EQ(takeOne<refuse_caller>().outcome, state::verdict::not_run);
    EXPECT_TRUE(take<send_attempt>().empty());
}

TEST_F(request_handling_test, LateOutcome_RequestEnded_DecrementsInFlight)
{
    serve(1);
    arrive({ .timeout = 50ms });
    const auto sent = takeOne<send_attempt>();
    pass(60ms);
    EXPECT_EQ(inFlight(), 1U);
    finish(sent.id, state::attempt_outcome::cancelled);
    EXPECT_EQ(inFlight(), 0U);
    EXPECT_TRUE(m_node.requests.attempts.empty());
    finish(sent.id, state::attempt_outcome::cancelled);
    EXPECT_EQ(inFlight(), 0U);
}

TEST_F(request_handling_test, CallerDisconnects_AttemptRunning_CancelledRemovedAndCounted)
{
    serve(1);
    const auto running = fill();
    const auto disconnectedBefore = m_node.counters.callersGone;
    happen(caller_gone { arrive() });
    for (const auto id : running) {
        happen(caller_gone { requestOf(id) });
        EXPECT_EQ(takeOne<cancel_attempt>().id, id);
    }
    EXPECT_TRUE(m_node.requests.requests.empty());
    EXPECT_TRUE(m_node.requests.due.empty());
    EXPECT_EQ(inFlight(), running.size());
    for (const auto id : running)
        finish(id, state::attempt_outcome::answered);
    EXPECT_EQ(inFlight(), 0U);
    EXPECT_EQ(m_node.counters.callersGone, disconnectedBefore + running.size() + 1);
    EXPECT_TRUE(take<answer_caller>().empty());
    EXPECT_TRUE(take<send_attempt>().empty());
}

TEST_F(request_handling_test, Service_NoEligibleServer_RefusedAtOnceAsNotRun)
{
    serve(1);
    m_published->dataCentresOut = { "dc-a" };
    publish();
    arrive();
    const auto refusal = takeOne<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::no_server);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    EXPECT_GT(refusal.retryAfter, 0s);
}

TEST_F(request_handling_test, ConnectionShare_ListedEntryHosts_DividesConnectionsAndIsAtLeastOne)
{
    m_service.connections = 100;
    serve(1);
    for (int host = 2; host <= 10; ++host)
        m_published->hosts.push_back({ "entry-" + std::to_string(host), "", "dc-a", state::host_kind::entry, {},
            state::host_listing::live, "" });
    publish();
    arrive();
    EXPECT_EQ(takeOne<send_attempt>().connectionShare, 9U);
    m_published->services[0].connections = 4;
    publish();
    warmUp();
    finish(state::attempt_id { 1 }, state::attempt_outcome::answered);
    arrive();
    EXPECT_EQ(takeOne<send_attempt>().connectionShare, 1U);
}

} // namespace
} // namespace acaciaslip::coordination
