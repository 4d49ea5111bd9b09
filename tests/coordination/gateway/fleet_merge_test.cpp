#include "coordination/gateway/fleet_merge.hpp"

#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

using state::gateway::fleet_delta;
using state::gateway::published_fleet;
using state::gateway::server_entry;

server_entry makeEntry(const std::string& id, std::uint32_t slots = 4)
{
    server_entry entry;
    entry.id = id;
    entry.service = "a";
    entry.address = "10.0.0.1:80";
    entry.slots = slots;
    return entry;
}

fleet_delta makeServerDelta(state::revision after, state::revision number, const std::string& id, bool present)
{
    fleet_delta delta { false, after, {} };
    delta.changes.asOf = number;
    delta.changes.servers[id] = { number, present ? std::optional(makeEntry(id)) : std::nullopt };
    return delta;
}

fleet_delta makeConfigurationDelta(state::revision after, state::revision number, std::uint32_t version)
{
    fleet_delta delta { false, after, {} };
    delta.changes.asOf = number;
    delta.changes.config.revisionNumber = number;
    delta.changes.config.value.emplace().version = version;
    return delta;
}

class fleet_merge_test : public testing::Test {
protected:
    published_fleet m_known;
};

TEST_F(fleet_merge_test, Delta_LeavesRevisionGap_IsNotApplied)
{
    EXPECT_FALSE(mergeDelta(m_known, makeServerDelta(5, 6, "s", true)).applied);
    EXPECT_TRUE(m_known.servers.empty());
}

TEST_F(fleet_merge_test, Removal_OlderThanEntry_KeepsEntry)
{
    mergeDelta(m_known, makeServerDelta(0, 7, "s", true));
    mergeDelta(m_known, makeServerDelta(0, 6, "s", false));
    EXPECT_TRUE(m_known.servers["s"].value);
}

TEST_F(fleet_merge_test, Configuration_OlderVersionAtNewerRevision_IsIgnored)
{
    mergeDelta(m_known, makeConfigurationDelta(0, 3, 8));
    mergeDelta(m_known, makeConfigurationDelta(3, 4, 7));
    EXPECT_EQ(m_known.config.value->version, 8U);
}

TEST_F(fleet_merge_test, Snapshot_WithoutKnownServer_RemovesServer)
{
    mergeDelta(m_known, makeServerDelta(0, 3, "s", true));
    fleet_delta snapshot { true, 0, {} };
    snapshot.changes.asOf = 5;
    EXPECT_TRUE(mergeDelta(m_known, snapshot).changed);
    EXPECT_TRUE(m_known.servers.empty());
}

TEST_F(fleet_merge_test, Snapshot_OlderThanKnownRevision_IsNotApplied)
{
    mergeDelta(m_known, makeServerDelta(0, 9, "s", true));
    fleet_delta snapshot { true, 0, {} };
    snapshot.changes.asOf = 5;
    EXPECT_FALSE(mergeDelta(m_known, snapshot).applied);
}

TEST_F(fleet_merge_test, MakeDelta_TombstonesDiscarded_ReturnsSnapshot)
{
    m_known.asOf = 10;
    m_known.tombstonesSince = 8;
    EXPECT_TRUE(makeDelta(m_known, 7).snapshot);
    EXPECT_FALSE(makeDelta(m_known, 8).snapshot);
}

TEST_F(fleet_merge_test, Tombstones_TooMany_OldestAreDiscarded)
{
    for (state::revision number = 1; number <= 3000; ++number)
        mergeDelta(m_known, makeServerDelta(number - 1, number, "s" + std::to_string(number), false));
    EXPECT_LE(m_known.servers.size(), 1001U);
}

/// Guards against diverging hosts: deltas and snapshots of one history may arrive in any order and from any source.
TEST_F(fleet_merge_test, Deltas_AnyOrderAndSource_ConvergeToTheSameFleet)
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        published_fleet expected;
        std::vector<fleet_delta> updates;
        for (state::revision number = 1; number <= 40; ++number) {
            const auto id = "s" + std::to_string(random() % 6);
            const auto change = makeServerDelta(number - 1, number, id, random() % 2 == 0);
            mergeDelta(expected, change);
            updates.push_back(change);
            if (random() % 8 == 0)
                updates.push_back(makeDelta(expected, random() % number));
        }
        std::shuffle(updates.begin(), updates.end(), random);
        published_fleet known;
        for (const auto& delta : updates)
            mergeDelta(known, delta);
        mergeDelta(known, makeDelta(expected, known.asOf));
        for (const auto& [id, item] : expected.servers) {
            const auto found = known.servers.find(id);
            const bool present = found != known.servers.end() && found->second.value;
            EXPECT_EQ(present, item.value.has_value()) << "seed " << seed << " server " << id;
        }
        EXPECT_EQ(known.asOf, expected.asOf) << "seed " << seed;
    }
}

} // namespace
} // namespace acaciaslip::coordination::gateway
