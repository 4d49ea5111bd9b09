#include "coordination/gateway/crashing_fleet.hpp"

#include <set>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

constexpr state::duration refusalTime = 50ms; ///< of a caller, once the host knows that all servers are down
constexpr std::size_t servers = 6;

class service_outage_test : public testing::TestWithParam<std::size_t> {
protected:
    service_outage_test() { m_fleet.run(10s); }

    crashing_fleet m_fleet { GetParam(), servers, 8.0 * static_cast<double>(GetParam()) };
};

/// Guards against callers that wait for servers that are known to be down, or return all at once.
TEST_P(service_outage_test, Servers_AllDown_CallersAreRefusedAtOnceAndReturnSpread)
{
    for (std::size_t server = 0; server < servers; ++server)
        m_fleet.endServer("s" + std::to_string(server));
    m_fleet.run(1s);
    m_fleet.outcomes.clear();
    m_fleet.run(2s);
    std::set<state::duration> told;
    std::size_t late = 0;
    for (const auto& outcome : m_fleet.outcomes) {
        EXPECT_FALSE(outcome.answered);
        EXPECT_EQ(outcome.refusal.outcome, state::verdict::not_run);
        late += outcome.took > refusalTime ? 1 : 0;
        told.insert(outcome.refusal.retryAfter);
    }
    EXPECT_EQ(late, 0U);
    EXPECT_GE(told.size(), m_fleet.outcomes.size() / 2);
    EXPECT_GE(*told.begin(), 500ms) << "the outage has lasted for longer than that";
    m_fleet.run(3s);
    m_fleet.outcomes.clear();
    m_fleet.run(1s);
    for (const auto& outcome : m_fleet.outcomes)
        EXPECT_TRUE(outcome.answered) << "the servers are back";
}

INSTANTIATE_TEST_SUITE_P(Hosts, service_outage_test, testing::Values(15, 99));
INSTANTIATE_TEST_SUITE_P(fleet_size_test, service_outage_test, testing::Values(312)); // not under sanitizers

} // namespace
} // namespace acaciaslip::coordination::gateway
