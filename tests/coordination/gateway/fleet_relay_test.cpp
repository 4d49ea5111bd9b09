#include "coordination/gateway/gateway_fixture.hpp"

namespace acaciaslip::coordination::gateway {
namespace {

/// A node whose peers are dead but were the last ones known to have a newer revision.
class fleet_relay_test : public gateway_fixture {
protected:
    void hearFrom(const std::string& ip)
    {
        state::gateway::peer_heartbeat heartbeat;
        heartbeat.sender = ip;
        heartbeat.dataCentre = "dc-a";
        heartbeat.asOf = 1000;
        handleEvent(heartbeat_received { ip, heartbeat });
    }

    /// Number of fetches within a time if each of them ends at once without an answer.
    std::size_t countFetchesWithin(state::duration span)
    {
        constexpr std::size_t mostCounted = 10000;
        std::size_t fetches = 0;
        for (const auto end = m_now + span; m_now < end && fetches < mostCounted; advanceTime(1ms)) {
            for (auto started = takeEffects<fetch_fleet>(); !started.empty() && fetches < mostCounted;
                 started = takeEffects<fetch_fleet>()) {
                fetches += started.size();
                handleEvent(fetch_finished { fetch_outcome::no_answer, 0, {} });
            }
        }
        return fetches;
    }
};

/// A node that relies on a peer of its data centre which watches the store.
class unreadable_relay_test : public fleet_relay_test {
protected:
    unreadable_relay_test()
    {
        publishServers(1);
        relyOnWatcher(1s);
        takeEffects<watch_store>();
    }

    /// Lets time pass in which the watching peer is heard at its usual interval.
    void relyOnWatcher(state::duration span)
    {
        constexpr state::duration heartbeatInterval = 300ms;
        for (const auto end = m_now + span; m_now < end; advanceTime(heartbeatInterval)) {
            state::gateway::peer_heartbeat heartbeat;
            heartbeat.sender = watcher;
            heartbeat.dataCentre = "dc-a";
            heartbeat.store = state::gateway::store_access::answers;
            heartbeat.asOf = m_watcherRevision;
            handleEvent(heartbeat_received { watcher, heartbeat });
            for (auto started = takeEffects<fetch_fleet>(); !started.empty(); started = takeEffects<fetch_fleet>()) {
                ++m_fetches;
                handleEvent(fetch_finished { m_outcome, 0, {} });
            }
        }
    }

    /// Number of times since the last call that the node began to watch the store.
    std::size_t countStartedWatches()
    {
        const auto changes = takeEffects<watch_store>();
        return static_cast<std::size_t>(
            std::count_if(changes.begin(), changes.end(), [](const auto& change) { return change.follow; }));
    }

    static constexpr const char* watcher = "10.0.0.0"; // of two watchers, the one with the lower address goes on
    state::revision m_watcherRevision = 0;
    fetch_outcome m_outcome = fetch_outcome::unreadable;
    std::size_t m_fetches = 0;
};

/// Guards against a host that learns nothing any more because of one value that it cannot decode.
TEST_F(unreadable_relay_test, Fetch_AnswersStayUnreadable_StoreIsWatchedInTime)
{
    m_watcherRevision = m_revision + 1;
    relyOnWatcher(1200ms);
    EXPECT_EQ(countStartedWatches(), 1U);
}

/// Guards against a host that stops to watch the store because others do, and is then behind again.
TEST_F(unreadable_relay_test, Store_AnswersWhileRelayIsUnreadable_IsWatchedOn)
{
    m_watcherRevision = m_revision + 1;
    relyOnWatcher(1200ms);
    handleEvent(store_recovered {});
    takeEffects<watch_store>();
    relyOnWatcher(20s);
    EXPECT_TRUE(takeEffects<watch_store>().empty());
}

/// Guards against large answers that are sent over and over though they cannot be decoded.
TEST_F(unreadable_relay_test, Fetch_AnswersStayUnreadable_IsRepeatedRarely)
{
    m_watcherRevision = m_revision + 1;
    relyOnWatcher(10s);
    EXPECT_LE(m_fetches, 16U);
}

/// Guards against a host that watches the store for good, although its peers relay readable values again.
TEST_F(unreadable_relay_test, Fetch_AnswerIsReadableAgain_ReliesOnPeersAgain)
{
    m_watcherRevision = m_revision + 1;
    relyOnWatcher(1200ms);
    handleEvent(store_recovered {});
    takeEffects<watch_store>();
    m_outcome = fetch_outcome::received;
    relyOnWatcher(3s);
    const auto changes = takeEffects<watch_store>();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes.front().follow);
}

TEST_F(unreadable_relay_test, Fetch_OneAnswerIsUnreadable_StoreIsLeftAlone)
{
    m_watcherRevision = m_revision + 1;
    relyOnWatcher(300ms);
    m_outcome = fetch_outcome::received;
    relyOnWatcher(3s);
    EXPECT_EQ(countStartedWatches(), 0U);
}

/// Guards against fetches in a loop: a dead host refuses a connection at once, and until it is removed from the known
/// peers nobody else has the newer revision.
TEST_F(fleet_relay_test, Fetch_OnlyNewerPeerIsDead_IsRepeatedWithPause)
{
    publishServers(1);
    hearFrom("10.0.0.2");
    EXPECT_LE(countFetchesWithin(1s), 11U);
}

/// Guards against two dead peers that are asked in turn without a pause.
TEST_F(fleet_relay_test, Fetch_AllNewerPeersAreDead_IsRepeatedWithPause)
{
    publishServers(1);
    hearFrom("10.0.0.2");
    hearFrom("10.0.0.3");
    hearFrom("10.0.0.4");
    EXPECT_LE(countFetchesWithin(1s), 12U);
}

/// Guards against a change that takes effect late because the first source is dead.
TEST_F(fleet_relay_test, Fetch_FirstOfTwoNewerPeersIsDead_OtherIsAskedAtOnce)
{
    publishServers(1);
    takeEffects<fetch_fleet>();
    hearFrom("10.0.0.2");
    hearFrom("10.0.0.3");
    advanceTime(300ms); // this node watches the store, which may bring the change first
    ASSERT_EQ(takeEffects<fetch_fleet>().size(), 1U);
    handleEvent(fetch_finished { fetch_outcome::no_answer, 0, {} });
    EXPECT_EQ(takeEffects<fetch_fleet>().size(), 1U);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
