#include "coordination/gateway/retry_budget.hpp"

#include "coordination/gateway/settings.hpp"

#include <deque>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

using namespace std::chrono_literals;

class retry_budget_test : public testing::Test {
protected:
    fleet_limits m_bounds { 0.2, 10s, 58, 6s };
    state::time_point m_now { 1h };
};

TEST_F(retry_budget_test, Window_Slides_OldRetriesNoLongerCount)
{
    retry_budget budget;
    m_bounds.minRetries = 12;
    while (mayRetry(budget, m_bounds, 1, m_now))
        recordRetry(budget, m_bounds, m_now);
    EXPECT_FALSE(mayRetry(budget, m_bounds, 1, m_now + 9s));
    EXPECT_TRUE(mayRetry(budget, m_bounds, 1, m_now + 11s));
}

TEST_F(retry_budget_test, Hosts_Many_NoneUsesTheWholeMinimumBudget)
{
    retry_budget budget;
    int retries = 0;
    while (mayRetry(budget, m_bounds, 15, m_now)) {
        recordRetry(budget, m_bounds, m_now);
        ++retries;
    }
    EXPECT_LE(retries, 58 / 15);
}

/// Guards against retry amplification: a service sheds every request, and 15 hosts, each of which knows only its own
/// requests, retry as often as their budgets allow.
TEST_F(retry_budget_test, Service_ShedsEverything_SumOverHostsStaysWithinFleetBudget)
{
    constexpr std::uint32_t hosts = 15;
    std::vector<retry_budget> budgets(hosts);
    std::deque<state::time_point> requests;
    std::deque<state::time_point> retries;
    for (int step = 0; step < 4000; ++step) {
        m_now += 10ms;
        auto& budget = budgets[static_cast<std::size_t>(step * 7) % hosts];
        recordRequest(budget, m_bounds, m_now);
        requests.push_back(m_now);
        while (mayRetry(budget, m_bounds, hosts, m_now)) {
            recordRetry(budget, m_bounds, m_now);
            retries.push_back(m_now);
        }
        while (m_now - requests.front() > m_bounds.retryWindow)
            requests.pop_front();
        while (!retries.empty() && m_now - retries.front() > m_bounds.retryWindow)
            retries.pop_front();
        ASSERT_LE(static_cast<double>(retries.size()),
            m_bounds.retryRatio * static_cast<double>(requests.size()) + m_bounds.minRetries)
            << "at step " << step;
    }
}

} // namespace
} // namespace acaciaslip::coordination::gateway
