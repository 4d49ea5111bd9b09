#include "coordination/node_fixture.hpp"

#include "coordination/retry.hpp"

#include <map>

namespace acaciaslip::coordination {
namespace {

using state::attempt_outcome;

class retry_test : public node_fixture { };

TEST_F(retry_test, NonIdempotent_AttemptMayHaveRun_RefusedAndNotRetried)
{
    for (const auto outcome :
        { attempt_outcome::cut, attempt_outcome::mismatched, attempt_outcome::timed_out, attempt_outcome::cancelled }) {
        publishServers(3);
        startRequest();
        finishAttempt(takeEffect<send_attempt>().id, outcome);
        EXPECT_EQ(takeEffect<refuse_caller>().outcome, state::verdict::may_have_run);
        EXPECT_TRUE(takeEffects<send_attempt>().empty());
    }
}

TEST_F(retry_test, NonIdempotent_ProvenNotRun_RetriedOnAnotherServer)
{
    for (const auto outcome : { attempt_outcome::shed, attempt_outcome::connect_failed, attempt_outcome::no_connection,
             attempt_outcome::expired }) {
        publishServers(3);
        m_node.fleet.services[0].activity.retries.tokens = 1;
        startRequest();
        const auto first = takeEffect<send_attempt>();
        finishAttempt(first.id, outcome);
        const auto second = takeEffect<send_attempt>();
        EXPECT_NE(second.server, first.server);
        finishAttempt(second.id, attempt_outcome::answered);
        EXPECT_EQ(takeEffect<answer_caller>().attempts, 2U);
    }
}

TEST_F(retry_test, NonIdempotent_NotRunThenCut_RefusedAsMayHaveRun)
{
    publishServers(3);
    startRequest();
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::shed);
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::cut);
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.outcome, state::verdict::may_have_run);
    EXPECT_EQ(refusal.attempts, 2U);
}

TEST_F(retry_test, Idempotent_CutThenEveryServerSheds_VerdictRemainsMayHaveRun)
{
    m_service.wait = 100ms;
    publishServers(2);
    startRequest({ .idempotent = true });
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::cut);
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::shed);
    m_node.fleet.services[0].activity.retries.tokens = -100;
    advanceTime(200ms);
    EXPECT_EQ(takeEffect<refuse_caller>().outcome, state::verdict::may_have_run);
}

TEST_F(retry_test, Attempts_EachServerSheds_BoundedAndProvenNotRun)
{
    publishServers(8);
    startRequest();
    std::uint32_t sent = 0;
    for (auto attempts = takeEffects<send_attempt>(); !attempts.empty(); attempts = takeEffects<send_attempt>()) {
        ++sent;
        finishAttempt(attempts.front().id, attempt_outcome::shed);
    }
    EXPECT_EQ(sent, maxAttempts);
    EXPECT_EQ(takeEffect<refuse_caller>().outcome, state::verdict::not_run);
}

TEST_F(retry_test, SingleServer_Sheds_RequestWaitsAndIsRetried)
{
    publishServers(1);
    const auto id = startRequest();
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::shed);
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
    EXPECT_TRUE(takeEffects<refuse_caller>().empty());
    advanceTime(50ms);
    finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::answered);
    EXPECT_EQ(takeEffect<answer_caller>().id, id);
}

TEST_F(retry_test, Overload_EveryServerSheds_AttemptsBoundedByRetryBudget)
{
    constexpr int requests = 1000;
    m_service.wait = 20ms;
    m_service.slots = 64;
    publishServers(6);
    int sent = 0;
    for (int request = 0; request < requests; ++request) {
        markServersWarm();
        startRequest();
        for (auto attempts = takeEffects<send_attempt>(); !attempts.empty(); attempts = takeEffects<send_attempt>()) {
            sent += static_cast<int>(attempts.size());
            for (const auto& attempt : attempts)
                finishAttempt(attempt.id, attempt_outcome::shed);
        }
        advanceTime(1ms, 1ms);
    }
    // A retry after a shed response costs 0.25 tokens, so 0.1 tokens per request allow 0.4 retries per request. The
    // minimum rate and the burst of the budget allow some more.
    EXPECT_LT(sent, requests * 1.4 + 60);
    EXPECT_GT(sent, requests);
}

TEST_F(retry_test, IdempotentRequests_ResponsesLost_RetriesBoundedByRetryBudget)
{
    constexpr int requests = 1000;
    publishServers(6);
    int sent = 0;
    int refused = 0;
    for (int request = 0; request < requests; ++request) {
        markServersWarm();
        startRequest({ .idempotent = true });
        for (auto attempts = takeEffects<send_attempt>(); !attempts.empty(); attempts = takeEffects<send_attempt>()) {
            sent += static_cast<int>(attempts.size());
            finishAttempt(attempts.front().id, attempt_outcome::cut);
        }
        for (const auto& refusal : takeEffects<refuse_caller>()) {
            ++refused;
            EXPECT_EQ(refusal.outcome, state::verdict::may_have_run);
        }
        advanceTime(1ms, 1ms);
    }
    EXPECT_EQ(refused, requests) << "a request that may have run is refused at once when the retry budget is empty";
    EXPECT_LT(sent, requests * 1.1 + 15);
    EXPECT_GT(sent, requests * 1.1 - 15);
}

/// Counts on the server side how often each request was run.
class run_counter {
public:
    /// Runs a request; the response to every third run is lost.
    attempt_outcome run(state::request_id id)
    {
        ++m_runs[id];
        return ++m_total % 3 == 0 ? attempt_outcome::cut : attempt_outcome::answered;
    }

    [[nodiscard]] int maxRuns() const
    {
        int maximum = 0;
        for (const auto& [id, runs] : m_runs)
            maximum = std::max(maximum, runs);
        return maximum;
    }

private:
    std::map<state::request_id, int> m_runs;
    int m_total = 0;
};

TEST_F(retry_test, NonIdempotentRequests_ResponsesLost_RunOnceUnlikeWithUnconditionalRetry)
{
    constexpr int requests = 60;
    run_counter unconditional;
    for (std::uint64_t request = 1; request <= requests; ++request) {
        while (unconditional.run(state::request_id { request }) != attempt_outcome::answered)
            continue; // retries after every failure
    }
    EXPECT_GT(unconditional.maxRuns(), 1);

    run_counter withRetryRules;
    publishServers(4);
    for (int request = 0; request < requests; ++request) {
        markServersWarm();
        const auto id = startRequest();
        for (auto attempts = takeEffects<send_attempt>(); !attempts.empty(); attempts = takeEffects<send_attempt>())
            finishAttempt(attempts.front().id, withRetryRules.run(id));
    }
    EXPECT_EQ(withRetryRules.maxRuns(), 1);
    EXPECT_EQ(takeEffects<answer_caller>().size() + takeEffects<refuse_caller>().size(), requests);
}

} // namespace
} // namespace acaciaslip::coordination
