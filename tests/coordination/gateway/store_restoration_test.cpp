#include "coordination/gateway/gateway_fixture.hpp"
#include "coordination/gateway/simulated_hosts.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

class store_restoration_test : public gateway_fixture {
protected:
    store_restoration_test() { publishServers(3); }

    /// Publishes a copy of the store's data in a new era. What is published later has higher revisions.
    void restore(state::gateway::published_fleet copy)
    {
        m_revision = state::revisionsPerEra * (state::eraOf(m_revision) + 1);
        m_published = std::move(copy);
        m_published.config.revisionNumber = nextRevision();
        for (auto& [id, item] : m_published.servers)
            item.revisionNumber = nextRevision();
        for (auto& [dataCentre, item] : m_published.evacuations)
            item.revisionNumber = nextRevision();
        publish();
    }
};

TEST_F(store_restoration_test, Configuration_OlderInCopy_StaysInForceAndIsReplacedByNewerOnes)
{
    const auto copy = m_published;
    publishConfiguration();
    publish();
    restore(copy);
    EXPECT_EQ(m_node.config->version, 2U);
    m_published.config = { nextRevision(), *m_node.config };
    publish(); // the operators write it again
    EXPECT_EQ(m_node.config->version, 2U);
    publishConfiguration();
    publish();
    EXPECT_EQ(m_node.config->version, 3U);
}

TEST_F(store_restoration_test, Server_LeftSinceCopy_IsNotUsedUntilItIsWrittenAgain)
{
    const auto copy = m_published;
    publishServerChange("s0", std::nullopt);
    restore(copy);
    EXPECT_EQ(probedServers(), (std::set<std::string> { "s1", "s2" }));
    publishServerChange("s0", makeEntry(0));
    EXPECT_EQ(probedServers().size(), 3U);
}

TEST_F(store_restoration_test, Server_LeftSinceCopyAndRestarted_IsUsedAtOnce)
{
    auto copy = m_published;
    copy.servers.at("s0").value->startedAtUnixMs = 2000;
    publishServerChange("s0", std::nullopt);
    restore(copy);
    EXPECT_EQ(probedServers().size(), 3U);
}

TEST_F(store_restoration_test, Server_DrainingSinceCopy_IsNotUsedUntilItIsWrittenAgain)
{
    const auto copy = m_published;
    auto entry = makeEntry(0);
    entry.draining = true;
    publishServerChange("s0", entry);
    restore(copy);
    EXPECT_EQ(probedServers(), (std::set<std::string> { "s1", "s2" }));
    publishServerChange("s0", makeEntry(0));
    EXPECT_EQ(probedServers().size(), 3U);
}

/// A live server writes its entry again only when the entry changes, so the copy must count in the end.
TEST_F(store_restoration_test, ServerAndEvacuation_NotWrittenAgain_CopyCountsAfterAWhile)
{
    const auto copy = m_published;
    publishServerChange("s0", std::nullopt);
    auto entry = makeEntry(1);
    entry.draining = true;
    publishServerChange("s1", entry);
    m_published.evacuations["dc-a"] = { nextRevision(), state::gateway::evacuation {} };
    publish();
    restore(copy);
    EXPECT_TRUE(probedServers().empty());
    advanceTime(7s);
    EXPECT_EQ(probedServers().size(), 3U);
}

TEST_F(store_restoration_test, Server_RegisteredSinceCopy_StaysInUseUntilItHadTimeToRegisterAgain)
{
    auto copy = m_published;
    copy.servers.erase("s2");
    restore(copy);
    EXPECT_EQ(probedServers().size(), 3U);
    advanceTime(2100ms);
    EXPECT_EQ(probedServers().size(), 2U);
}

TEST_F(store_restoration_test, Evacuation_SinceCopy_HoldsUntilItIsTakenBack)
{
    const auto copy = m_published;
    m_published.evacuations["dc-a"] = { nextRevision(), state::gateway::evacuation {} };
    publish();
    restore(copy);
    EXPECT_TRUE(probedServers().empty());
    m_published.evacuations["dc-a"] = { nextRevision(), std::nullopt };
    publish();
    EXPECT_EQ(probedServers().size(), 3U);
}

TEST_F(store_restoration_test, Server_ColdWhenCopyWasMade_IsNotColdAgain)
{
    auto entry = makeEntry(0);
    entry.coldRemaining = 3s;
    publishServerChange("s0", entry);
    m_now += 10s;
    restore(m_published);
    EXPECT_LE(m_node.servers.at("s0").coldUntil, m_now);
    advanceTime(7s);
    EXPECT_LE(m_node.servers.at("s0").coldUntil, m_now);
}

/// Guards against changes that count as old on the hosts after the store has been restored from a copy (kierdicht-gw,
/// restored: version 14 was in force nowhere).
TEST(store_restoration_fleet_size_test, Store_RestoredTwice_ChangesReachEveryHostWithinBound)
{
    constexpr auto bound = 3000ms;
    for (const std::size_t perDataCentre : { 5, 104 }) {
        simulated_hosts hosts { perDataCentre };
        for (auto& [ip, node] : hosts.nodes)
            node.settings.limits.configApply = bound;
        hosts.links.defaultBytesPerSecond = 2'500'000;
        hosts.publishConfiguration(400);
        for (int server = 0; server < 300; ++server)
            hosts.change("s" + std::to_string(server), true);
        hosts.run(10s);
        for (std::uint32_t round = 0; round < 2; ++round) {
            const auto copy = hosts.store;
            hosts.publishConfiguration(1);
            hosts.change("left" + std::to_string(round), true);
            hosts.run(2s);
            hosts.storeDown = true;
            hosts.run(2s);
            hosts.storeDown = false;
            hosts.restoreStore(copy);
            hosts.run(500ms);
            hosts.rewriteConfiguration();
            hosts.run(1s);
            hosts.publishConfiguration(1);
            hosts.run(bound);
            for (const auto& [ip, node] : hosts.nodes) {
                ASSERT_EQ(hosts.versionOf(ip), 3 + 2 * round) << ip;
                ASSERT_EQ(node.published.asOf, hosts.store.asOf) << ip;
            }
        }
    }
}

} // namespace
} // namespace acaciaslip::coordination::gateway
