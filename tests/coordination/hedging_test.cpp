#include "coordination/hedging.hpp"

#include "coordination/node_fixture.hpp"

namespace acaciaslip::coordination {
namespace {

using state::attempt_outcome;

class hedging_test : public node_fixture {
protected:
    void publishServersWithHedging(std::size_t servers)
    {
        m_service.hedge = true;
        publishServers(servers);
    }

    /// Records latency samples: the service answers a number of requests, each after the given time.
    void recordAnswers(state::duration latency, int answers = 40)
    {
        for (int answer = 0; answer < answers; ++answer) {
            startRequest();
            m_now += latency;
            finishAttempt(takeEffect<send_attempt>().id, attempt_outcome::answered);
            markServersWarm();
        }
        m_effects.clear();
    }
};

TEST_F(hedging_test, IdempotentRequest_Slow_HedgedAndSlowerAttemptCancelled)
{
    publishServersWithHedging(3);
    recordAnswers(2ms);
    const auto id = startRequest({ .idempotent = true });
    const auto first = takeEffect<send_attempt>();
    advanceTime(1ms, 1ms);
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
    advanceTime(3ms, 1ms);
    const auto second = takeEffect<send_attempt>();
    EXPECT_NE(second.server, first.server);
    finishAttempt(second.id, attempt_outcome::answered);
    EXPECT_EQ(takeEffect<answer_caller>().id, id);
    EXPECT_EQ(takeEffect<cancel_attempt>().id, first.id);
    EXPECT_EQ(inFlight(), 1U);
    finishAttempt(first.id, attempt_outcome::cancelled);
    EXPECT_EQ(inFlight(), 0U);
    EXPECT_EQ(m_node.counters.hedges, 1U);
}

TEST_F(hedging_test, Hedge_Due_SentAtNextEvent)
{
    publishServersWithHedging(3);
    recordAnswers(2ms);
    startRequest({ .idempotent = true });
    takeEffects<send_attempt>();
    m_now += 4ms;
    handleEvent(value_requested {});
    EXPECT_EQ(takeEffects<send_attempt>().size(), 1U);
}

TEST_F(hedging_test, NonIdempotentRequest_Slow_NotHedged)
{
    publishServersWithHedging(3);
    recordAnswers(2ms);
    startRequest();
    takeEffects<send_attempt>();
    advanceTime(500ms);
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
}

TEST_F(hedging_test, Service_HedgingDisabled_NotHedged)
{
    publishServers(3);
    recordAnswers(2ms);
    startRequest({ .idempotent = true });
    takeEffects<send_attempt>();
    advanceTime(500ms);
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
}

TEST_F(hedging_test, HedgedRequest_FirstAttemptFails_SecondAttemptAnswers)
{
    publishServersWithHedging(3);
    recordAnswers(2ms);
    startRequest({ .idempotent = true });
    const auto first = takeEffect<send_attempt>();
    advanceTime(4ms, 1ms);
    const auto second = takeEffect<send_attempt>();
    finishAttempt(first.id, attempt_outcome::cut);
    EXPECT_TRUE(takeEffects<refuse_caller>().empty());
    EXPECT_TRUE(takeEffects<send_attempt>().empty());
    finishAttempt(second.id, attempt_outcome::answered);
    EXPECT_EQ(takeEffects<answer_caller>().size(), 1U);
}

TEST_F(hedging_test, IdempotentRequests_AllSlow_HedgesBoundedByHedgeShare)
{
    constexpr int requests = 400;
    m_service.slots = 1000;
    m_service.timeout = 20ms;
    publishServersWithHedging(3);
    recordAnswers(2ms);
    for (int request = 0; request < requests; ++request) {
        startRequest({ .idempotent = true });
        advanceTime(5ms, 1ms);
        for (const auto& cancelled : takeEffects<cancel_attempt>())
            finishAttempt(cancelled.id, attempt_outcome::cancelled);
        m_node.fleet.services[0].activity.latencies = {};
        for (int answer = 0; answer < 20; ++answer)
            recordLatency(m_node.fleet.services[0].activity.latencies, 2ms);
        markServersWarm();
    }
    EXPECT_LE(m_node.counters.hedges, requests * m_service.hedgeShare + 6);
    EXPECT_GE(m_node.counters.hedges, requests * m_service.hedgeShare - 6);
}

TEST_F(hedging_test, Quantile_UniformLatencies_WithinOneBucketAndOldSamplesDecay)
{
    state::latency_histogram latencies;
    for (int millisecond = 1; millisecond <= 100; ++millisecond)
        recordLatency(latencies, std::chrono::milliseconds { millisecond });
    const auto quantile = findQuantile(latencies, 0.95);
    ASSERT_TRUE(quantile);
    EXPECT_GE(*quantile, 95ms);
    EXPECT_LE(*quantile, 95ms * 1.2);
    for (int answer = 0; answer < 20'000; ++answer)
        recordLatency(latencies, 1ms);
    EXPECT_LE(findQuantile(latencies, 0.99).value_or(1h), 1200us);
}

} // namespace
} // namespace acaciaslip::coordination
