#include "coordination/node_fixture.hpp"

namespace acaciaslip::coordination {
namespace {

class request_handling_test : public node_fixture { };

TEST_F(request_handling_test, Request_ServerAnswers_CallerReceivesAnswer)
{
    publishServers(1);
    const auto id = startRequest();
    finishAttempt(takeEffect<send_attempt>().id, state::attempt_outcome::answered);
    EXPECT_EQ(takeEffect<answer_caller>().id, id);
    EXPECT_EQ(inFlight(), 0U);
}

TEST_F(request_handling_test, DuplicateKey_FirstRequestInFlight_RefusedAndFirstKeepsKey)
{
    publishServers(3);
    startRequest({ .key = "k" });
    for (int repeat = 0; repeat < 2; ++repeat) {
        startRequest({ .key = "k" });
        const auto refusal = takeEffect<refuse_caller>();
        EXPECT_EQ(refusal.reason, state::refusal_reason::duplicate_key);
        EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    }
    finishAttempt(takeEffect<send_attempt>().id, state::attempt_outcome::answered);
    startRequest({ .key = "k" });
    EXPECT_EQ(takeEffects<send_attempt>().size(), 1U);
}

TEST_F(request_handling_test, IdempotencyKey_AttemptOutlivesRequest_HeldUntilAttemptEnds)
{
    publishServers(2);
    startRequest({ .key = "k", .timeout = 50ms });
    const auto sent = takeEffect<send_attempt>();
    advanceTime(60ms);
    EXPECT_EQ(takeEffect<refuse_caller>().outcome, state::verdict::may_have_run);
    startRequest({ .key = "k" });
    EXPECT_EQ(takeEffect<refuse_caller>().reason, state::refusal_reason::duplicate_key);
    finishAttempt(sent.id, state::attempt_outcome::cancelled);
    startRequest({ .key = "k" });
    EXPECT_EQ(takeEffects<send_attempt>().size(), 1U);
}

TEST_F(request_handling_test, IdempotencyKey_LongerThanStored_DuplicatesStillDetected)
{
    publishServers(3);
    const std::string prefix(100'000, 'x');
    startRequest({ .key = prefix + "1" });
    startRequest({ .key = prefix + "2" });
    EXPECT_EQ(takeEffects<send_attempt>().size(), 2U);
    startRequest({ .key = prefix + "1" });
    EXPECT_EQ(takeEffect<refuse_caller>().reason, state::refusal_reason::duplicate_key);
    for (const auto& [key, holder] : m_node.requests.idempotencyKeys)
        EXPECT_LT(key.size(), 200U);
}

TEST_F(request_handling_test, Deadline_AttemptRunning_RefusedAtOnceAsMayHaveRunAndAttemptCancelled)
{
    publishServers(1);
    startRequest({ .timeout = 50ms });
    const auto sent = takeEffect<send_attempt>();
    advanceTime(50ms, 50ms);
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::deadline_exceeded);
    EXPECT_EQ(refusal.outcome, state::verdict::may_have_run);
    EXPECT_EQ(takeEffect<cancel_attempt>().id, sent.id);
}

TEST_F(request_handling_test, Deadline_NothingSent_RefusedAsNotRun)
{
    m_service.wait = 1s;
    publishServers(1);
    fillServers();
    startRequest({ .timeout = 50ms });
    advanceTime(50ms);
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::deadline_exceeded);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    EXPECT_EQ(refusal.attempts, 0U);
}

TEST_F(request_handling_test, Deadline_AlreadyPassed_RefusedWithoutAttempt)
{
    publishServers(1);
    startRequest({ .timeout = 0ms });
    EXPECT_EQ(takeEffect<refuse_caller>().outcome, state::verdict::not_run);
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
}

TEST_F(request_handling_test, LateOutcome_RequestEnded_DecrementsInFlight)
{
    publishServers(1);
    startRequest({ .timeout = 50ms });
    const auto sent = takeEffect<send_attempt>();
    advanceTime(60ms);
    EXPECT_EQ(inFlight(), 1U);
    finishAttempt(sent.id, state::attempt_outcome::cancelled);
    EXPECT_EQ(inFlight(), 0U);
    EXPECT_TRUE(m_node.requests.attempts.empty());
    finishAttempt(sent.id, state::attempt_outcome::cancelled);
    EXPECT_EQ(inFlight(), 0U);
}

TEST_F(request_handling_test, CallerDisconnects_AttemptRunning_CancelledRemovedAndCounted)
{
    publishServers(1);
    const auto running = fillServers();
    const auto disconnectedBefore = m_node.counters.callersDisconnected;
    handleEvent(caller_disconnected { startRequest() });
    for (const auto id : running) {
        handleEvent(caller_disconnected { requestOf(id) });
        EXPECT_EQ(takeEffect<cancel_attempt>().id, id);
    }
    EXPECT_TRUE(m_node.requests.requests.empty());
    EXPECT_TRUE(m_node.requests.dueTimes.empty());
    EXPECT_EQ(inFlight(), running.size());
    for (const auto id : running)
        finishAttempt(id, state::attempt_outcome::answered);
    EXPECT_EQ(inFlight(), 0U);
    EXPECT_EQ(m_node.counters.callersDisconnected, disconnectedBefore + running.size() + 1);
    EXPECT_TRUE(takeEffects<answer_caller>().empty());
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
}

TEST_F(request_handling_test, Service_NoEligibleServer_RefusedAtOnceAsNotRun)
{
    publishServers(1);
    m_published->evacuatedDataCentres = { "dc-a" };
    publish();
    startRequest();
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::no_server);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
    EXPECT_GT(refusal.retryAfter, 0s);
}

TEST_F(request_handling_test, ConnectionShare_ListedEntryHosts_DividesConnectionsAndIsAtLeastOne)
{
    m_service.connections = 100;
    publishServers(1);
    for (int host = 2; host <= 10; ++host)
        m_published->hosts.push_back({ "entry-" + std::to_string(host), "", "dc-a", state::host_kind::entry, {},
            state::host_listing::live, "" });
    publish();
    startRequest();
    EXPECT_EQ(takeEffect<send_attempt>().connectionLimit, 9U);
    m_published->services[0].connections = 4;
    publish();
    markServersWarm();
    finishAttempt(state::attempt_id { 1 }, state::attempt_outcome::answered);
    startRequest();
    EXPECT_EQ(takeEffect<send_attempt>().connectionLimit, 1U);
}

} // namespace
} // namespace acaciaslip::coordination
