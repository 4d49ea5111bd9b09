#include "coordination/load_estimate.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class load_estimate_test : public testing::Test {
protected:
    static state::time_point at(milliseconds offset) { return state::time_point { seconds { 100 } } + offset; }

    state::load_state m_load;
};

TEST_F(load_estimate_test, OwnRequests_Running_CountExactly)
{
    addRunning(m_load, at(milliseconds { 0 }));
    addRunning(m_load, at(milliseconds { 1 }));
    EXPECT_DOUBLE_EQ(estimateInFlight(m_load), 2);
    removeRunning(m_load, at(milliseconds { 0 }));
    EXPECT_DOUBLE_EQ(estimateInFlight(m_load), 1);
}

TEST_F(load_estimate_test, PeerCount_OneSpike_MovesEstimateLittle)
{
    for (int message = 0; message < 100; ++message)
        learnPeerLoad(m_load, "entry-b", 1, at(milliseconds { message }));
    learnPeerLoad(m_load, "entry-b", 4, at(milliseconds { 100 }));
    EXPECT_GT(estimateInFlight(m_load), 1);
    EXPECT_LT(estimateInFlight(m_load), 1.5);
}

TEST_F(load_estimate_test, PeerCount_ChangesForGood_EstimateFollows)
{
    learnPeerLoad(m_load, "entry-b", 0, at(milliseconds { 0 }));
    for (int message = 1; message <= 100; ++message)
        learnPeerLoad(m_load, "entry-b", 3, at(milliseconds { message }));
    EXPECT_NEAR(estimateInFlight(m_load), 3, 0.05);
}

TEST_F(load_estimate_test, Peer_Forgotten_CountsNoMore)
{
    learnPeerLoad(m_load, "entry-b", 3, at(milliseconds { 0 }));
    learnPeerLoad(m_load, "entry-c", 2, at(milliseconds { 0 }));
    forgetPeerLoad(m_load, "entry-b");
    EXPECT_DOUBLE_EQ(estimateInFlight(m_load), 2);
}

TEST_F(load_estimate_test, Latency_ServerIdle_FallsBackToUsual)
{
    learnLatency(m_load, milliseconds { 100 }, at(milliseconds { 0 }));
    const state::duration usual = milliseconds { 5 };
    EXPECT_EQ(expectLatency(m_load, usual, at(milliseconds { 0 })), milliseconds { 100 });
    EXPECT_LT(expectLatency(m_load, usual, at(milliseconds { 10000 })), milliseconds { 6 });
}

TEST_F(load_estimate_test, Latency_OldestRequestUnanswered_IsAtLeastItsAge)
{
    learnLatency(m_load, milliseconds { 5 }, at(milliseconds { 0 }));
    addRunning(m_load, at(milliseconds { 0 }));
    EXPECT_GE(expectLatency(m_load, milliseconds { 5 }, at(milliseconds { 80 })), milliseconds { 80 });
}

} // namespace
} // namespace acaciaslip::coordination
