#include "coordination/permits.hpp"

#include "coordination/simulated_nodes.hpp"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr state::duration writeTime = milliseconds { 250 }; ///< longest time from a send decision to its first byte

class permits_test : public testing::Test {
protected:
    void startNodes(std::size_t count)
    {
        m_published.services = { simulated_nodes::service("maps") };
        for (std::size_t index = 0; index < 6; ++index)
            m_published.hosts.push_back(simulated_nodes::serverHost(index, "maps", index % 3));
        for (std::size_t index = 0; index < count; ++index)
            m_published.hosts.push_back(simulated_nodes::entryHost(index));
        for (std::size_t index = 0; index < count; ++index)
            m_group.add(m_published);
        m_group.run(seconds { 6 });
    }

    std::uint32_t allowance(std::size_t index, const std::string& id = "maps-0")
    {
        return coldAllowance(m_group.at(index).self, m_group.server(index, id), m_group.now);
    }

    std::vector<std::size_t> holders()
    {
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < m_group.size(); ++index) {
            if (!m_group.at(index).paused && allowance(index) > 0)
                found.push_back(index);
        }
        return found;
    }

    std::uint32_t total(const std::string& id)
    {
        std::uint32_t sum = 0;
        for (std::size_t index = 0; index < m_group.size(); ++index)
            sum += allowance(index, id);
        return sum;
    }

    /// Advances time and checks that a new holder starts only after every former holder can no longer write.
    void runWithoutOverlap(state::duration span)
    {
        m_group.run(span, [&] {
            const auto now = holders();
            ASSERT_LE(now.size(), 1U);
            for (const auto holder : now) {
                for (const auto& [former, last] : m_lastHeldAt)
                    ASSERT_TRUE(former == holder || m_group.now - last > writeTime);
                m_lastHeldAt[holder] = m_group.now;
            }
        });
    }

    state::fleet_settings m_published;
    simulated_nodes m_group;
    std::map<std::size_t, state::time_point> m_lastHeldAt;
};

TEST_F(permits_test, Limit_AllNodesReachable_IsDividedExactly)
{
    startNodes(5);
    for (const std::uint32_t limit : { 1U, 2U, 4U, 7U }) {
        for (const std::string id : { "maps-0", "maps-3", "maps-5" }) {
            for (std::size_t index = 0; index < m_group.size(); ++index)
                m_group.server(index, id).limit = limit;
            EXPECT_EQ(total(id), limit);
        }
    }
}

TEST_F(permits_test, Permits_ManyServers_SpreadOverHosts)
{
    startNodes(4);
    std::map<std::size_t, int> held;
    for (int number = 0; number < 400; ++number) {
        state::server_record server;
        server.id = "s" + std::to_string(number);
        for (std::size_t index = 0; index < 4; ++index)
            held[index] += coldAllowance(m_group.at(index).self, server, m_group.now) > 0 ? 1 : 0;
    }
    for (const auto& [index, count] : held) {
        EXPECT_GT(count, 70) << index;
        EXPECT_LT(count, 130) << index;
    }
}

TEST_F(permits_test, Holder_Paused_AnotherTakesOverAfterItsLease)
{
    startNodes(4);
    const auto holder = holders().at(0);
    runWithoutOverlap(seconds { 1 });
    m_group.at(holder).paused = true;
    runWithoutOverlap(seconds { 8 });
    ASSERT_EQ(holders().size(), 1U);
    // The resumed node processes every datagram buffered during the pause. None of them may renew its lease.
    m_group.resume(holder);
    EXPECT_EQ(allowance(holder), 0U);
    runWithoutOverlap(seconds { 8 });
    EXPECT_EQ(holders(), std::vector<std::size_t> { holder });
}

TEST_F(permits_test, Holder_RestartsWithoutState_NeverOverlaps)
{
    startNodes(4);
    const auto holder = holders().at(0);
    runWithoutOverlap(seconds { 1 });
    m_group.start(holder, m_published);
    runWithoutOverlap(seconds { 8 });
    EXPECT_EQ(holders(), std::vector<std::size_t> { holder });
}

TEST_F(permits_test, Holder_Leaving_StopsAtOnceAndAnotherTakesOver)
{
    startNodes(4);
    const auto holder = holders().at(0);
    m_group.handleEvent(holder, drain_requested {});
    EXPECT_EQ(allowance(holder), 0U);
    m_group.run(seconds { 2 });
    EXPECT_EQ(holders().size(), 1U);
}

TEST_F(permits_test, Node_Joins_TakesItsPermitsWithoutOverlap)
{
    startNodes(3);
    runWithoutOverlap(seconds { 1 });
    for (std::size_t index = 3; index < 9; ++index) {
        m_published.hosts.push_back(simulated_nodes::entryHost(index));
        m_group.publish(m_published);
        runWithoutOverlap(seconds { 1 });
        m_group.add(m_published);
        runWithoutOverlap(seconds { 7 });
        EXPECT_EQ(holders().size(), 1U) << index;
    }
}

TEST_F(permits_test, Holder_Unlisted_StopsBeforeAnotherStarts)
{
    startNodes(4);
    const auto holder = holders().at(0);
    runWithoutOverlap(seconds { 1 });
    auto without = m_published;
    std::erase_if(without.hosts, [&](const auto& host) { return host.id == simulated_nodes::entryHost(holder).id; });
    // The holder itself still has the old list.
    for (std::size_t index = 0; index < m_group.size(); ++index) {
        if (index != holder)
            m_group.publishToNode(index, without);
    }
    runWithoutOverlap(seconds { 10 });
    ASSERT_EQ(holders().size(), 1U);
    EXPECT_NE(holders().at(0), holder);
}

TEST_F(permits_test, Fleet_Partitioned_HasAtMostOneHolderPerSide)
{
    startNodes(5);
    m_group.isPartitioned = [](std::size_t from, std::size_t to) { return (from < 2) != (to < 2); };
    std::size_t most = 0;
    m_group.run(seconds { 10 }, [&] {
        const auto now = holders();
        most = std::max(most, now.size());
        EXPECT_LE(std::count_if(now.begin(), now.end(), [](auto index) { return index < 2; }), 1);
        EXPECT_LE(std::count_if(now.begin(), now.end(), [](auto index) { return index >= 2; }), 1);
    });
    EXPECT_EQ(most, 2U);
    m_group.isPartitioned = [](std::size_t, std::size_t) { return false; };
    m_group.run(milliseconds { 500 });
    m_group.run(seconds { 5 }, [&] { EXPECT_LE(holders().size(), 1U); });
}

TEST_F(permits_test, Node_Isolated_HoldsNoPermits)
{
    startNodes(4);
    const auto holder = holders().at(0);
    m_group.isPartitioned = [holder](std::size_t from, std::size_t to) { return from == holder || to == holder; };
    runWithoutOverlap(seconds { 10 });
    EXPECT_EQ(allowance(holder), 0U);
    EXPECT_EQ(holders().size(), 1U);
}

TEST_F(permits_test, Holder_ReceivesButCannotSend_StopsBeforeAnotherStarts)
{
    startNodes(4);
    const auto holder = holders().at(0);
    runWithoutOverlap(seconds { 1 });
    m_group.isPartitioned = [holder](std::size_t from, std::size_t) { return from == holder; };
    runWithoutOverlap(seconds { 10 });
    ASSERT_EQ(holders().size(), 1U);
    EXPECT_NE(holders().at(0), holder);
}

TEST_F(permits_test, Node_Alone_HoldsAllPermits)
{
    startNodes(1);
    m_group.server(0, "maps-0").limit = 3;
    EXPECT_EQ(allowance(0), 3U);
}

TEST_F(permits_test, FormerHolder_StillHasRequestInFlight_NewHolderWaits)
{
    startNodes(2);
    const auto holder = holders().at(0);
    EXPECT_EQ(allowance(holder), 1U);
    m_group.server(holder, "maps-0").load.peers["entry-9"] = { 1, 1, m_group.now };
    EXPECT_EQ(allowance(holder), 0U);
}

TEST_F(permits_test, Holder_EjectedServer_AnotherHoldsPermit)
{
    startNodes(3);
    const auto holder = holders().at(0);
    for (std::size_t index = 0; index < 3; ++index) {
        if (index != holder)
            m_group.server(index, "maps-0").ejectedBy[simulated_nodes::entryHost(holder).id]
                = m_group.now + seconds { 1 };
    }
    auto& server = m_group.server(holder, "maps-0");
    server.ejections = 1;
    server.ejectedUntil = m_group.now;
    ASSERT_EQ(holders().size(), 1U);
    EXPECT_NE(holders().at(0), holder);
}

/// Random link failures, pauses and restarts. Two nodes must never hold the only permit at the same time while either
/// has recently received a message from the other.
class permits_seed_test : public permits_test, public testing::WithParamInterface<std::uint32_t> {
protected:
    void applyRandomFault(random_generator& random)
    {
        const auto index = random(static_cast<std::uint32_t>(m_group.size()));
        switch (random(5)) {
        case 0:
            m_cutLinks[{ index, random(static_cast<std::uint32_t>(m_group.size())) }] = true;
            break;
        case 1:
            m_cutLinks.clear();
            break;
        case 2:
            m_group.at(index).paused = true;
            break;
        case 3:
            m_group.start(index, m_published);
            break;
        default:
            if (m_group.at(index).paused)
                m_group.resume(index);
        }
    }

    void checkHolders()
    {
        const auto now = holders();
        for (const auto one : now) {
            for (const auto other : now) {
                const auto silence = m_group.now - m_lastDeliveryAt[std::pair(one, other)];
                ASSERT_TRUE(one == other || silence >= hostTimeout) << one << " and " << other;
            }
        }
    }

    std::map<std::pair<std::size_t, std::size_t>, bool> m_cutLinks;
    std::map<std::pair<std::size_t, std::size_t>, state::time_point> m_lastDeliveryAt;
};

TEST_P(permits_seed_test, Nodes_DisconnectedPausedRestarted_HoldersCannotReachEachOther)
{
    startNodes(5);
    m_group.isPartitioned = [&](std::size_t from, std::size_t to) { return m_cutLinks.contains({ from, to }); };
    m_group.onDelivery = [&](std::size_t from, std::size_t to) { m_lastDeliveryAt[{ from, to }] = m_group.now; };
    random_generator random { GetParam() };
    for (int change = 0; change < 12 && !HasFatalFailure(); ++change) {
        applyRandomFault(random);
        m_group.run(milliseconds { 100 + 10 * random(400) }, [&] { checkHolders(); });
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, permits_seed_test, testing::Range(1U, 41U));

} // namespace
} // namespace acaciaslip::coordination
