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

fleet_delta makeChange(state::revision after, state::revision number, const std::string& id, bool present)
{
    fleet_delta delta { false, after, {} };
    delta.changes.asOf = number;
    delta.changes.servers[id] = { number, present ? std::optional(makeEntry(id)) : std::nullopt };
    return delta;
}

fleet_delta makeConfiguration(state::revision after, state::revision number, std::uint32_t version)
{
    fleet_delta delta { false, after, {} };
    delta.changes.asOf = number;
    delta.changes.config.number = number;
    delta.changes.config.value.emplace().version = version;
    return delta;
}

class fleet_merge_test : public testing::Test {
protected:
    published_fleet m_known;
};

TEST_F(fleet_merge_test, Delta_LeavesGap_NotApplied)
{
    EXPECT_FALSE(mergeDelta(m_known, makeChange(5, 6, "s", true)).applied);
    EXPECT_TRUE(m_known.servers.empty());
}

TEST_F(fleet_merge_test, Removal_Late_DoesNotUndoNewerEntry)
{
    mergeDelta(m_known, makeChange(0, 7, "s", true));
    mergeDelta(m_known, makeChange(0, 6, "s", false));
    EXPECT_TRUE(m_known.servers["s"].value);
}

TEST_F(fleet_merge_test, Configuration_OlderVersionAtNewerRevision_StaysOut)
{
    mergeDelta(m_known, makeConfiguration(0, 3, 8));
    mergeDelta(m_known, makeConfiguration(3, 4, 7));
    EXPECT_EQ(m_known.config.value->version, 8U);
}

TEST_F(fleet_merge_test, Snapshot_LacksServer_ServerIsRemoved)
{
    mergeDelta(m_known, makeChange(0, 3, "s", true));
    fleet_delta snapshot { true, 0, {} };
    snapshot.changes.asOf = 5;
    EXPECT_TRUE(mergeDelta(m_known, snapshot).changed);
    EXPECT_TRUE(m_known.servers.empty());
}

TEST_F(fleet_merge_test, Snapshot_OlderThanKnown_NotApplied)
{
    mergeDelta(m_known, makeChange(0, 9, "s", true));
    fleet_delta snapshot { true, 0, {} };
    snapshot.changes.asOf = 5;
    EXPECT_FALSE(mergeDelta(m_known, snapshot).applied);
}

TEST_F(fleet_merge_test, MakeDelta_RemovalsForgotten_GivesSnapshot)
{
    m_known.asOf = 10;
    m_known.tombstonesFrom = 8;
    EXPECT_TRUE(makeDelta(m_known, 7).snapshot);
    EXPECT_FALSE(makeDelta(m_known, 8).snapshot);
}

TEST_F(fleet_merge_test, Removals_Many_AreForgottenInTheEnd)
{
    for (state::revision number = 1; number <= 3000; ++number)
        mergeDelta(m_known, makeChange(number - 1, number, "s" + std::to_string(number), false));
    EXPECT_LE(m_known.servers.size(), 1001U);
}

/// Deltas and snapshots of one history, in any order and from anywhere, end in the same fleet.
TEST_F(fleet_merge_test, Deltas_AnyOrderAndSource_EndInTheSameFleet)
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        published_fleet truth;
        std::vector<fleet_delta> news;
        for (state::revision number = 1; number <= 40; ++number) {
            const auto id = "s" + std::to_string(random() % 6);
            const auto change = makeChange(number - 1, number, id, random() % 2 == 0);
            mergeDelta(truth, change);
            news.push_back(change);
            if (random() % 8 == 0)
                news.push_back(makeDelta(truth, random() % number));
        }
        std::shuffle(news.begin(), news.end(), random);
        published_fleet known;
        for (const auto& delta : news)
            mergeDelta(known, delta);
        mergeDelta(known, makeDelta(truth, known.asOf));
        for (const auto& [id, item] : truth.servers) {
            const auto found = known.servers.find(id);
            const bool present = found != known.servers.end() && found->second.value;
            EXPECT_EQ(present, item.value.has_value()) << "seed " << seed << " server " << id;
        }
        EXPECT_EQ(known.asOf, truth.asOf) << "seed " << seed;
    }
}

} // namespace
} // namespace acaciaslip::coordination::gateway
