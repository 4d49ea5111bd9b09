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

TEST_F(load_estimate_test, OwnRequests_InFlight_AreCountedExactly)
{
    addInFlight(m_load, at(milliseconds { 0 }));
    addInFlight(m_load, at(milliseconds { 1 }));
    EXPECT_DOUBLE_EQ(estimateInFlight(m_load), 2);
    removeInFlight(m_load, at(milliseconds { 0 }));
    EXPECT_DOUBLE_EQ(estimateInFlight(m_load), 1);
}

TEST_F(load_estimate_test, PeerCount_SingleSpike_ChangesEstimateLittle)
{
    for (int message = 0; message < 100; ++message)
        updatePeerLoad(m_load, "entry-b", 1, at(milliseconds { message }));
    updatePeerLoad(m_load, "entry-b", 4, at(milliseconds { 100 }));
    EXPECT_GT(estimateInFlight(m_load), 1);
    EXPECT_LT(estimateInFlight(m_load), 1.5);
}

TEST_F(load_estimate_test, PeerCount_ChangesPermanently_EstimateFollows)
{
    updatePeerLoad(m_load, "entry-b", 0, at(milliseconds { 0 }));
    for (int message = 1; message <= 100; ++message)
        updatePeerLoad(m_load, "entry-b", 3, at(milliseconds { message }));
    EXPECT_NEAR(estimateInFlight(m_load), 3, 0.05);
}

TEST_F(load_estimate_test, Peer_Removed_IsNoLongerCounted)
{
    updatePeerLoad(m_load, "entry-b", 3, at(milliseconds { 0 }));
    updatePeerLoad(m_load, "entry-c", 2, at(milliseconds { 0 }));
    removePeerLoad(m_load, "entry-b");
    EXPECT_DOUBLE_EQ(estimateInFlight(m_load), 2);
}

TEST_F(load_estimate_test, Latency_ServerIdle_DecaysToServiceLatency)
{
    updateLatencyAverage(m_load, milliseconds { 100 }, at(milliseconds { 0 }));
    const state::duration serviceLatency = milliseconds { 5 };
    EXPECT_EQ(estimateLatency(m_load, serviceLatency, at(milliseconds { 0 })), milliseconds { 100 });
    EXPECT_LT(estimateLatency(m_load, serviceLatency, at(milliseconds { 10000 })), milliseconds { 6 });
}

TEST_F(load_estimate_test, Latency_RequestInFlight_IsAtLeastItsAge)
{
    updateLatencyAverage(m_load, milliseconds { 5 }, at(milliseconds { 0 }));
    addInFlight(m_load, at(milliseconds { 0 }));
    EXPECT_GE(estimateLatency(m_load, milliseconds { 5 }, at(milliseconds { 80 })), milliseconds { 80 });
}

} // namespace
} // namespace acaciaslip::coordination
