#include "coordination/gateway/serving_fleet.hpp"

#include <ostream>
#include <set>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

constexpr state::duration drain = 2s; ///< for which a server serves after it says that it leaves

/// A fleet some of whose servers say in each answer that they leave.
class leaving_fleet : public serving_fleet {
public:
    leaving_fleet(std::size_t hostCount, std::size_t serverCount, double requestsPerSecond)
        : serving_fleet { hostCount, serverCount, requestsPerSecond }
    {
        serve = [this](const std::string& ip, const send_request& sent) {
            auto finished = makeAnswer();
            if (std::stoul(sent.server.substr(1)) < leaving) {
                finished.leaving = true;
                const auto told = m_told.try_emplace({ ip, sent.server }, hosts.now + workTime).first->second;
                sentAfterTold += hosts.now > told ? 1 : 0;
                sentLate += hosts.now > told + drain ? 1 : 0;
            }
            return std::optional(server_reaction { finished, workTime });
        };
    }

    std::size_t leaving = 0; ///< number of servers that leave, from the first on
    std::size_t sentAfterTold = 0; ///< requests to a leaving server from a host that knew it
    std::size_t sentLate = 0; ///< of these, later than `drain` after that

private:
    std::map<std::pair<std::string, std::string>, state::time_point> m_told; ///< by host and server
};

struct leaving_case {
    std::size_t hosts;
    std::size_t servers;
    std::size_t leaving;

    friend std::ostream& operator<<(std::ostream& output, const leaving_case& shown)
    {
        return output << shown.hosts << "_hosts_" << shown.leaving << "_of_" << shown.servers << "_servers";
    }
};

class leaving_server_test : public testing::TestWithParam<leaving_case> {
protected:
    leaving_server_test()
    {
        m_fleet.run(10s);
        m_fleet.outcomes.clear();
        m_fleet.leaving = GetParam().leaving;
        m_fleet.run(6s);
    }

    leaving_fleet m_fleet { GetParam().hosts, GetParam().servers, 8.0 * static_cast<double>(GetParam().hosts) };
};

/// Guards against requests to a server that has said, in an answer, that it leaves (one of three servers: 26 requests
/// later than 2 s after that).
TEST_P(leaving_server_test, Server_SaysItLeaves_ReceivesNoRequestAfterDrain)
{
    EXPECT_EQ(m_fleet.sentLate, 0U);
}

TEST_P(leaving_server_test, Servers_SomeLeave_OthersServeAtOnce)
{
    if (GetParam().leaving == GetParam().servers)
        return;
    EXPECT_EQ(m_fleet.sentAfterTold, 0U);
    for (const auto& outcome : m_fleet.outcomes)
        EXPECT_TRUE(outcome.answered);
}

/// A leaving server still serves for a while, and is better than none.
TEST_P(leaving_server_test, Servers_AllLeave_TheyAreUsedFirstAndCallersRefusedAtOnceLater)
{
    if (GetParam().leaving < GetParam().servers)
        return;
    EXPECT_GT(m_fleet.sentAfterTold, 0U);
    EXPECT_TRUE(m_fleet.outcomes.front().answered);
    const auto& last = m_fleet.outcomes.back();
    EXPECT_FALSE(last.answered);
    EXPECT_EQ(last.refusal.outcome, state::verdict::not_run);
    EXPECT_LE(last.took, 50ms);
}

INSTANTIATE_TEST_SUITE_P(Fleets, leaving_server_test,
    testing::Values(leaving_case { 3, 3, 1 }, leaving_case { 3, 3, 2 }, leaving_case { 3, 1, 1 },
        leaving_case { 15, 9, 9 }, leaving_case { 99, 30, 10 }));
INSTANTIATE_TEST_SUITE_P(fleet_size_test, leaving_server_test, testing::Values(leaving_case { 312, 60, 20 }));

} // namespace
} // namespace acaciaslip::coordination::gateway
