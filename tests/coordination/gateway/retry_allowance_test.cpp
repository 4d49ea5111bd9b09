#include "coordination/gateway/retry_allowance.hpp"

#include "coordination/gateway/settings.hpp"

#include <deque>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

using namespace std::chrono_literals;

class retry_allowance_test : public testing::Test {
protected:
    fleet_bounds m_bounds { 0.2, 10s, 58, 6s };
    state::time_point m_now { 1h };
};

TEST_F(retry_allowance_test, Window_Slides_OldRepeatsFreeTheirPlace)
{
    retry_allowance allowance;
    m_bounds.retrySlack = 12;
    while (mayRepeat(allowance, m_bounds, 1, m_now))
        noteRepeat(allowance, m_bounds, m_now);
    EXPECT_FALSE(mayRepeat(allowance, m_bounds, 1, m_now + 9s));
    EXPECT_TRUE(mayRepeat(allowance, m_bounds, 1, m_now + 11s));
}

TEST_F(retry_allowance_test, Hosts_ManyShare_NoneSpendsTheWholeSlack)
{
    retry_allowance allowance;
    int repeats = 0;
    while (mayRepeat(allowance, m_bounds, 15, m_now)) {
        noteRepeat(allowance, m_bounds, m_now);
        ++repeats;
    }
    EXPECT_LE(repeats, 58 / 15);
}

/// A service that sheds everything: fifteen hosts repeat as much as they may, each seeing only its own requests.
TEST_F(retry_allowance_test, Service_ShedsEverything_SumOverHostsStaysWithinTheFleetsBudget)
{
    constexpr std::uint32_t hosts = 15;
    std::vector<retry_allowance> allowances(hosts);
    std::deque<state::time_point> requests;
    std::deque<state::time_point> repeats;
    for (int step = 0; step < 4000; ++step) {
        m_now += 10ms;
        auto& allowance = allowances[static_cast<std::size_t>(step * 7) % hosts];
        noteRequest(allowance, m_bounds, m_now);
        requests.push_back(m_now);
        while (mayRepeat(allowance, m_bounds, hosts, m_now)) {
            noteRepeat(allowance, m_bounds, m_now);
            repeats.push_back(m_now);
        }
        while (m_now - requests.front() > m_bounds.retryWindow)
            requests.pop_front();
        while (!repeats.empty() && m_now - repeats.front() > m_bounds.retryWindow)
            repeats.pop_front();
        ASSERT_LE(static_cast<double>(repeats.size()),
            m_bounds.retryRatio * static_cast<double>(requests.size()) + m_bounds.retrySlack)
            << "at step " << step;
    }
}

} // namespace
} // namespace acaciaslip::coordination::gateway
