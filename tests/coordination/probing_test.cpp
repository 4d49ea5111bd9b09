#include "coordination/probing.hpp"

#include "coordination/simulated_nodes.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodes = 16;

class probing_test : public testing::Test {
protected:
    probing_test()
    {
        m_group.onEffect = [this](std::size_t index, const effect& wanted) {
            const auto* probe = std::get_if<probe_server>(&wanted);
            if (probe == nullptr)
                return;
            m_sent[probe->server].push_back({ m_group.now, index });
            m_probeResults.push_back({ index, { probe->server, true, reported_health::live, std::nullopt } });
        };
    }

    void startNodes(double budget)
    {
        m_published.services = { simulated_nodes::service("maps") };
        m_published.services[0].probesPerSecond = budget;
        for (std::size_t index = 0; index < 10; ++index)
            m_published.hosts.push_back(simulated_nodes::serverHost(index, "maps", index % 3));
        for (std::size_t index = 0; index < nodes; ++index)
            m_published.hosts.push_back(simulated_nodes::entryHost(index));
        for (std::size_t index = 0; index < nodes; ++index)
            m_group.add(m_published);
    }

    void run(state::duration span)
    {
        m_group.run(span, [&] {
            for (const auto& [index, result] : std::exchange(m_probeResults, {})) {
                if (!m_group.at(index).paused)
                    m_group.handleEvent(index, result);
            }
        });
    }

    /// The maximum number of probes that any server received in any window of one second.
    std::size_t mostInOneSecond()
    {
        std::size_t most = 0;
        for (const auto& [server, probes] : m_sent) {
            for (std::size_t first = 0, last = 0; last < probes.size(); ++last) {
                while (probes[last].first - probes[first].first >= seconds { 1 })
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    std::size_t total(const std::string& server) { return m_sent[server].size(); }

    state::fleet_settings m_published;
    simulated_nodes m_group;
    std::map<state::host_id, std::vector<std::pair<state::time_point, std::size_t>>> m_sent;
    std::vector<std::pair<std::size_t, probe_finished>> m_probeResults;
};

TEST_F(probing_test, Budget_WholeNumber_IsNeverExceededAndNearlyUsed)
{
    startNodes(2);
    run(seconds { 60 });
    EXPECT_LE(mostInOneSecond(), 2U);
    for (int number = 0; number < 10; ++number)
        EXPECT_GT(total("maps-" + std::to_string(number)), 90U) << number;
}

TEST_F(probing_test, Budget_BelowOne_SendsOneProbePerInterval)
{
    startNodes(0.25);
    run(seconds { 60 });
    EXPECT_LE(mostInOneSecond(), 1U);
    EXPECT_LE(total("maps-0"), 15U);
    EXPECT_GE(total("maps-0"), 11U);
}

TEST_F(probing_test, Budget_WithFraction_IsNeverExceeded)
{
    startNodes(2.5);
    run(seconds { 60 });
    EXPECT_LE(mostInOneSecond(), 2U);
    EXPECT_LE(total("maps-0"), 150U);
}

TEST_F(probing_test, Budget_Zero_SendsNothing)
{
    startNodes(0);
    run(seconds { 20 });
    EXPECT_TRUE(m_sent.empty());
}

TEST_F(probing_test, Nodes_AllDisconnected_StayWithinTheBudget)
{
    startNodes(2);
    m_group.isPartitioned = [](std::size_t, std::size_t) { return true; };
    run(seconds { 30 });
    EXPECT_LE(mostInOneSecond(), 2U);
}

TEST_F(probing_test, Nodes_JoinAndLeave_StayWithinTheBudget)
{
    startNodes(2);
    random_generator random { 3 };
    for (int round = 0; round < 12; ++round) {
        auto changed = m_published;
        const auto gone = simulated_nodes::entryHost(random(nodes)).id;
        std::erase_if(changed.hosts, [&](const auto& host) { return host.id == gone; });
        for (std::size_t index = 0; index < nodes; ++index) {
            // Each node receives the list at a different time, within the five seconds that settings may take.
            run(milliseconds { 10 * random(25) });
            m_group.publishToNode(index, changed);
        }
        run(seconds { 6 });
    }
    EXPECT_LE(mostInOneSecond(), 2U);
}

TEST_F(probing_test, Nodes_RestartOften_StayWithinTheBudget)
{
    startNodes(2);
    random_generator random { 5 };
    for (int restart = 0; restart < 200; ++restart) {
        run(milliseconds { 10 * random(60) });
        m_group.start(random(nodes), m_published);
    }
    EXPECT_LE(mostInOneSecond(), 2U);
}

TEST_F(probing_test, Nodes_PausedAndResumed_StayWithinTheBudget)
{
    startNodes(2);
    random_generator random { 9 };
    for (int pause = 0; pause < 100; ++pause) {
        const auto index = random(nodes);
        if (m_group.at(index).paused)
            m_group.resume(index);
        else
            m_group.at(index).paused = true;
        run(milliseconds { 10 * random(100) });
    }
    EXPECT_LE(mostInOneSecond(), 2U);
}

TEST_F(probing_test, Nodes_KeepStaleLists_SendAtMostTwiceTheBudget)
{
    startNodes(2);
    run(seconds { 10 });
    auto changed = m_published;
    std::erase_if(changed.hosts, [](const auto& host) { return host.id < simulated_nodes::entryHost(15).id; });
    for (int number = 0; number < 10; ++number)
        changed.hosts.push_back(simulated_nodes::serverHost(static_cast<std::size_t>(number), "maps", 0));
    for (std::size_t index = 0; index < 8; ++index)
        m_group.publishToNode(index, changed);
    run(seconds { 30 });
    EXPECT_LE(mostInOneSecond(), 4U);
}

TEST_F(probing_test, Counters_OneMinute_SpentStaysWithinAllowed)
{
    startNodes(2);
    run(seconds { 60 });
    double allowed = 0;
    std::uint64_t spent = 0;
    for (std::size_t index = 0; index < nodes; ++index) {
        allowed += m_group.server(index, "maps-0").probing.budgeted;
        spent += m_group.server(index, "maps-0").probesSpent;
    }
    EXPECT_EQ(spent, total("maps-0"));
    EXPECT_LE(static_cast<double>(spent), allowed);
    EXPECT_NEAR(allowed, 120, 3);
}

TEST_F(probing_test, WarmServer_RecentResponses_ReduceItsProbes)
{
    startNodes(2);
    run(seconds { 30 });
    const auto before = total("maps-0");
    for (int round = 0; round < 60; ++round) {
        for (std::size_t index = 0; index < nodes; ++index) {
            m_group.server(index, "maps-0").condition = state::server_condition::warm;
            m_group.server(index, "maps-0").lastResponseAt = m_group.now;
        }
        run(milliseconds { 500 });
    }
    EXPECT_LE(total("maps-0") - before, before * 3 / 4);
}

} // namespace
} // namespace acaciaslip::coordination
