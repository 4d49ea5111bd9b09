#include "coordination/gateway/cold_admission.hpp"

#include <deque>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

using namespace std::chrono_literals;

class cold_admission_test : public testing::TestWithParam<std::uint32_t> { };

TEST(cold_admission_warm_test, Server_Warm_MayAlwaysReceiveRequests)
{
    const state::time_point now { 1h };
    EXPECT_TRUE(mayUseColdSlot(now, 3.4, { 15, 3 }, now, now));
}

/// Guards against overload of a cold server: each host limits only its own rate, and all hosts send as fast as they
/// may.
TEST_P(cold_admission_test, Server_Cold_AllHostsTogetherStayWithinItsRateInEverySecond)
{
    constexpr double perSecond = 3.4;
    constexpr double mostInSecond = perSecond * 1.5 + 5;
    const std::uint32_t hosts = GetParam();
    const state::time_point coldUntil { 1h };
    std::vector<std::optional<state::time_point>> lastUsed(hosts);
    std::deque<state::time_point> sent;
    std::size_t total = 0;
    for (auto now = coldUntil - 30s; now < coldUntil; now += 5ms) {
        for (std::uint32_t rank = 0; rank < hosts; ++rank) {
            if (!mayUseColdSlot(coldUntil, perSecond, { hosts, rank }, lastUsed[rank], now))
                continue;
            lastUsed[rank] = now;
            sent.push_back(now);
            ++total;
        }
        while (!sent.empty() && now - sent.front() >= 1s)
            sent.pop_front();
        ASSERT_LE(static_cast<double>(sent.size()), mostInSecond);
    }
    EXPECT_NEAR(static_cast<double>(total), 30 * perSecond, perSecond * 2);
}

INSTANTIATE_TEST_SUITE_P(Hosts, cold_admission_test, testing::Values(1, 2, 5, 15, 16, 100, 300));

/// Guards against a burst after an idle period: each host may use only its newest time slot, not those that have
/// lapsed.
TEST(cold_admission_burst_test, Hosts_IdleThenAllSend_LapsedTimeSlotsAreNotUsed)
{
    constexpr std::uint32_t hosts = 15;
    const state::time_point coldUntil { 1h };
    int sent = 0;
    for (std::uint32_t rank = 0; rank < hosts; ++rank)
        sent += mayUseColdSlot(coldUntil, 3.4, { hosts, rank }, std::nullopt, coldUntil - 2s) ? 1 : 0;
    EXPECT_LE(sent, 4);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
