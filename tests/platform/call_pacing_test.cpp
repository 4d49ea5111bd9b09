#include "platform/call_pacing.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::platform {
namespace {

using namespace std::chrono_literals;

class call_pacing_test : public testing::Test {
protected:
    call_pacing m_pacing;
};

TEST_F(call_pacing_test, Failures_Repeated_DelayGrowsToLimit)
{
    EXPECT_EQ(delayAfterFailure(m_pacing, 0), 50ms);
    EXPECT_EQ(delayAfterFailure(m_pacing, 0), 100ms);
    for (int failure = 0; failure < 100; ++failure)
        EXPECT_LE(delayAfterFailure(m_pacing, 0.999), 800ms);
    EXPECT_EQ(delayAfterFailure(m_pacing, 0), 400ms);
}

TEST_F(call_pacing_test, UselessAnswers_Repeated_AreCountedAndDelayGrowsToLimit)
{
    EXPECT_EQ(delayAfterUselessAnswer(m_pacing, 0), 50ms);
    for (int answer = 0; answer < 100; ++answer)
        EXPECT_LE(delayAfterUselessAnswer(m_pacing, 0.999), 3200ms);
    EXPECT_EQ(delayAfterUselessAnswer(m_pacing, 0), 1600ms);
    EXPECT_EQ(m_pacing.uselessAnswersTotal, 102U);
}

TEST_F(call_pacing_test, UsefulAnswer_AfterFailures_ResetsDelays)
{
    for (int failure = 0; failure < 10; ++failure)
        (void)delayAfterFailure(m_pacing, 0);
    EXPECT_EQ(answerTimeout(m_pacing, 400ms), 1600ms);
    recordUsefulAnswer(m_pacing);
    EXPECT_EQ(delayAfterFailure(m_pacing, 0), 50ms);
}

TEST_F(call_pacing_test, AnswerTimeout_AfterFailure_IsLonger)
{
    EXPECT_EQ(answerTimeout(m_pacing, 400ms), 400ms);
    (void)delayAfterFailure(m_pacing, 0);
    EXPECT_EQ(answerTimeout(m_pacing, 400ms), 800ms);
}

} // namespace
} // namespace acaciaslip::platform
