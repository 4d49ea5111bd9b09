#include "coordination/membership.hpp"

#include "coordination/simulated_fleet.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

class membership_test : public testing::Test {
protected:
    void SetUp() override
    {
        m_plan = { 3, 1, 1, 4 };
        m_plan.publish(m_fleet);
        m_plan.startAll(m_fleet);
        m_fleet.run(2s);
        m_message.sender = "entry-001";
        m_message.incarnation = peer().incarnation;
        m_message.sequence = peer().sequence + 1000;
        m_message.loads = { { tagOf("server-0"), 3 } };
    }

    node& self() { return m_fleet["entry-000"]; }
    state::peer_record& peer() { return self().peers.at("entry-001"); }

    std::uint32_t loadOf(const std::string& id)
    {
        const auto& server = self().fleet.servers[self().fleet.serverIndexes.at("server-0")];
        const auto found = server.load.peers.find(id);
        return found == server.load.peers.end() ? 0 : found->second.inFlight;
    }

    void receive(const state::peer_message& message, const std::string& address)
    {
        m_fleet.handle("entry-000", peer_message_received { address, message });
    }

    void receive() { receive(m_message, "at-entry-001"); }

    simulated_fleet m_fleet;
    fleet_layout m_plan;
    state::peer_message m_message;
};

TEST_F(membership_test, Message_FromListedPeer_AppliesItsLoads)
{
    receive();
    EXPECT_EQ(loadOf("entry-001"), 3U);
}

TEST_F(membership_test, Message_FromWrongAddressOrUnknownHost_IsDroppedAndCounted)
{
    const auto before = self().counters.peerMessagesFromUnknown;
    receive(m_message, "at-entry-002");
    m_message.sender = "stranger";
    receive(m_message, "at-entry-001");
    EXPECT_EQ(loadOf("entry-001"), 0U);
    EXPECT_EQ(self().counters.peerMessagesFromUnknown, before + 2);
}

TEST_F(membership_test, Message_ReplayedOrReordered_IsDroppedAndCounted)
{
    receive();
    const auto old = m_message;
    ++m_message.sequence;
    m_message.loads = { { tagOf("server-0"), 1 } };
    receive();
    receive(old, "at-entry-001");
    receive();
    EXPECT_EQ(loadOf("entry-001"), 1U);
    EXPECT_EQ(self().counters.peerMessagesReplayed, 2U);
}

TEST_F(membership_test, Message_WithHigherIncarnation_ClearsLoadsAndLowerOnesAreDropped)
{
    receive();
    auto replaced = m_message;
    ++replaced.incarnation;
    replaced.sequence = 1;
    replaced.loads.clear();
    receive(replaced, "at-entry-001");
    EXPECT_EQ(loadOf("entry-001"), 0U);
    ++m_message.sequence;
    receive();
    EXPECT_EQ(loadOf("entry-001"), 0U);
}

TEST_F(membership_test, Loads_OfSilentPeer_ExpireAfterTimeout)
{
    receive();
    m_fleet.pause("entry-001");
    m_fleet.run(localLoadExpiry - 500ms);
    EXPECT_EQ(loadOf("entry-001"), 3U);
    m_fleet.run(1s);
    EXPECT_EQ(loadOf("entry-001"), 0U);
}

TEST_F(membership_test, Loads_WithPacketLoss_ConvergeWithinSeconds)
{
    random_generator random(3);
    m_fleet.dropsDatagram = [&](const auto& /*from*/, const auto& /*to*/) { return random(10) < 5; };
    auto& other = m_fleet["entry-001"];
    auto& server = other.fleet.servers[other.fleet.serverIndexes.at("server-0")];
    server.ownInFlight = 2;
    m_fleet.run(4s);
    EXPECT_EQ(loadOf("entry-001"), 2U);
    server.ownInFlight = 0;
    m_fleet.run(4s);
    EXPECT_EQ(loadOf("entry-001"), 0U);
}

TEST_F(membership_test, Host_IntroducedByListedPeer_IsPeerUntilIntroductionExpires)
{
    m_message.introduced = { { "entry-new", "at-entry-new", "dc-0" } };
    receive();
    auto message = m_message;
    message.sender = "entry-new";
    message.incarnation = 1;
    message.introduced = { { "entry-other", "at-entry-other", "dc-0" } };
    receive(message, "at-entry-new");
    EXPECT_EQ(loadOf("entry-new"), 3U);
    EXPECT_FALSE(self().peers.contains("entry-other"));
    EXPECT_EQ(self().fleet.entryHosts.size(), 3U);
    m_fleet.run(introductionExpiry + 1s);
    EXPECT_FALSE(self().peers.contains("entry-new"));
    EXPECT_EQ(loadOf("entry-new"), 0U);
}

TEST_F(membership_test, Introductions_OfManyHosts_AreLimited)
{
    for (int host = 0; host < 100; ++host) {
        ++m_message.sequence;
        m_message.introduced = { { "new-" + std::to_string(host), "at-new", "dc-0" } };
        receive();
    }
    EXPECT_EQ(self().peers.size(), 2 + maxIntroducedPeers);
}

TEST_F(membership_test, ServerTags_OfTwoServersCollide_IdentifyNeither)
{
    auto tags = makeServerTags(self().fleet);
    EXPECT_TRUE(findServer(tags, tagOf("server-0")).has_value());
    state::fleet duplicated = self().fleet;
    duplicated.servers.push_back(duplicated.servers.front());
    tags = makeServerTags(duplicated);
    EXPECT_FALSE(findServer(tags, tagOf(duplicated.servers.front().id)).has_value());
}

TEST_F(membership_test, ConditionChange_Broadcast_IsSentToAllPeersImmediately)
{
    effect_list effects;
    broadcastConditionChange(self(),
        { "server-0", state::server_condition::ejected, 1, "", state::observed_health::unread, 0 }, m_fleet.now,
        effects);
    EXPECT_EQ(effects.size(), 2U);
}

} // namespace
} // namespace acaciaslip::coordination
