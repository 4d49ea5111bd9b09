#include "coordination/gateway/allowance_exchange.hpp"
#include "coordination/gateway/allowance_fleet.hpp"
#include "coordination/gateway/allowance_keeping.hpp"

#include <cmath>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

using test_case = std::pair<std::size_t, double>; ///< number of hosts, rate

class team_allowance_fleet_test : public testing::TestWithParam<test_case> {
protected:
    [[nodiscard]] static std::size_t hostCount() { return GetParam().first; }
    [[nodiscard]] static double rate() { return GetParam().second; }
};

/// Guards against hosts that refuse a team because each of them has only a small share of its allowance.
TEST_P(team_allowance_fleet_test, Requests_EvenBelowAllowance_NoneRefused)
{
    allowance_fleet fleet { hostCount(), { allowance_fleet::makeTeam("t", rate(), rate()) } };
    fleet.run("t", rate() / 1.6, 10s);
    fleet.run("t", rate() * 0.95, 5s);
    EXPECT_EQ(fleet.usageOf("t").refused, 0U);
    EXPECT_GE(static_cast<double>(fleet.usageOf("t").admitted), rate() / 1.6 * 10 - 2);
}

/// Guards against a sum over all hosts that exceeds the allowance, and against a team that is refused more than it has
/// to be.
TEST_P(team_allowance_fleet_test, Requests_ThreeTimesAllowance_SumStaysWithinRule)
{
    allowance_fleet fleet { hostCount(), { allowance_fleet::makeTeam("t", rate(), rate()) } };
    fleet.run("t", rate() / 1.6, 5s);
    fleet.run("t", rate() * 3, 15s);
    const auto& used = fleet.usageOf("t");
    EXPECT_LE(used.worst, 1);
    EXPECT_GE(static_cast<double>(used.admitted), rate() * 15 * 0.9);
    for (const auto wait : fleet.retryAfters)
        EXPECT_GT(wait, state::duration::zero());
}

INSTANTIATE_TEST_SUITE_P(Sizes, team_allowance_fleet_test,
    testing::Values(test_case { 3, 10 }, test_case { 3, 300 }, test_case { 16, 1 }, test_case { 16, 100 },
        test_case { 100, 10 }, test_case { 100, 500 }, test_case { 312, 100 }),
    [](const auto& instance) {
        return std::to_string(instance.param.first) + "Hosts" + std::to_string(static_cast<int>(instance.param.second))
            + "PerSecond";
    });

/// Guards against messages and memory of hosts that do not use allowances.
TEST(team_allowance_test, Teams_WithoutLimit_CostNothing)
{
    allowance_fleet fleet { 16, { allowance_fleet::makeTeam("t", 0, 0) } };
    fleet.run("t", 500, 5s);
    EXPECT_EQ(fleet.usageOf("t").refused, 0U);
    EXPECT_EQ(fleet.messages(), 0U);
    for (const auto& [ip, node] : fleet.hosts.nodes) {
        EXPECT_TRUE(node.allowances.uses.empty());
        EXPECT_TRUE(node.allowances.kept.empty());
        EXPECT_FALSE(nextAllowanceStep(node).has_value());
    }
}

/// Guards against one team's allowance that makes other hosts reject the reports of all teams in a message.
TEST(team_allowance_test, KeeperReport_OfHugeAllowance_IsWithinRangeOfMessages)
{
    allowance_fleet fleet { 3, { allowance_fleet::makeTeam("t", 9e15, 9e15) } };
    fleet.run("t", 100, 2s);
    std::size_t reports = 0;
    for (auto& [ip, node] : fleet.hosts.nodes) {
        for (auto& [team, kept] : node.allowances.kept) {
            const auto report = makeKeeperReport(kept, team, fleet.hosts.now);
            EXPECT_LE(std::abs(report.keeper->level), state::gateway::maxReportedAmount);
            EXPECT_LE(report.keeper->demand, state::gateway::maxReportedAmount);
            ++reports;
        }
    }
    EXPECT_GT(reports, 0U);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
