#include "transport/loop/fleet_service.hpp"

#include "coordination/gateway/fleet_merge.hpp"
#include "protocol/gateway_peer_codec.hpp"
#include "transport/loop/loop_fixture.hpp"
#include "transport/loop/peer_transport.hpp"
#include "transport/raw_socket.hpp"

#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::transport::loop {
namespace {

namespace gateway = coordination::gateway;

/// Two hosts: one serves the fleet as the test says, the other fetches it.
class fleet_service_test : public loop_fixture {
protected:
    fleet_service_test()
    {
        EXPECT_TRUE(m_http.listen("127.0.0.1:0").ok());
        m_transport.emplace(&m_loop, findFreePort(), m_http.port(), [this](const gateway::event& happened) {
            if (const auto* finished = std::get_if<gateway::fetch_finished>(&happened))
                m_finished.push_back(*finished);
            if (const auto* update = std::get_if<gateway::fleet_update_received>(&happened))
                m_received.push_back(update->delta);
        });
        EXPECT_TRUE(m_transport->start("127.0.0.1").ok());
    }
    ~fleet_service_test() override
    {
        m_transport->close();
        m_http.close();
        runFor(20ms);
    }

    void add(const std::string& id)
    {
        state::gateway::server_entry entry;
        entry.id = id;
        entry.service = "a";
        entry.address = "10.1.0.1:80";
        m_known.servers[id] = { ++m_known.asOf, entry };
    }

    std::size_t countServers(state::revision after)
    {
        const auto delta = protocol::decodeDelta(m_service.encode(m_known, after));
        return delta.ok() ? delta->changes.servers.size() : 0;
    }

    /// Starts a fetch and waits until the service has posted it.
    void startFetch(state::duration patience)
    {
        m_transport->fetch({ "127.0.0.1", 0, patience });
        ASSERT_TRUE(runUntil([this] { return m_requested.has_value(); }));
    }

    std::optional<gateway::fetch_requested> m_requested;
    std::vector<gateway::fetch_served> m_served;
    std::vector<gateway::fetch_finished> m_finished;
    std::vector<state::gateway::fleet_delta> m_received;
    state::gateway::published_fleet m_known;
    fleet_service m_service { [this](const gateway::event& happened) {
        if (const auto* requested = std::get_if<gateway::fetch_requested>(&happened))
            m_requested = *requested;
        if (const auto* served = std::get_if<gateway::fetch_served>(&happened))
            m_served.push_back(*served);
    } };
    http_service m_http { &m_loop, [this](const protocol::http::message& request, const http_service::reply& reply) {
                             EXPECT_TRUE(m_service.receive(request, reply));
                         } };
    std::optional<peer_transport> m_transport;
};

/// All hosts of a data centre start at the same time and fetch from the first one that has the fleet. The
/// answer must be encoded only once for all of them.
TEST_F(fleet_service_test, Fetches_ManyOfSameRevision_AreEncodedOnce)
{
    for (int index = 0; index < 3000; ++index)
        add("s" + std::to_string(index));
    for (int host = 0; host < 300; ++host)
        ASSERT_FALSE(m_service.encode(m_known, 0).empty());
    EXPECT_EQ(countServers(0), 3000U);
    EXPECT_EQ(m_service.encodedAnswers(), 1U);
}

TEST_F(fleet_service_test, Fleet_Changed_AnswerIsUpdated)
{
    add("s1");
    EXPECT_EQ(countServers(0), 1U);
    add("s2");
    EXPECT_EQ(countServers(0), 2U);
    EXPECT_EQ(countServers(1), 1U) << "only the server added after revision 1 is expected";
}

TEST_F(fleet_service_test, Fetches_OfManyRevisions_AreAnsweredCorrectly)
{
    for (int index = 0; index < 20; ++index)
        add("s" + std::to_string(index));
    for (unsigned after = 0; after < 20; ++after)
        EXPECT_EQ(countServers(after), 20U - after);
}

/// During an upgrade, a host of the version before asks without saying that it reads changes of a configuration.
TEST_F(fleet_service_test, Configuration_HostReadsNoChanges_WholeOneIsSent)
{
    state::gateway::configuration config;
    for (std::uint32_t version = 1; version <= 2; ++version) {
        config.version = version;
        state::gateway::route route;
        route.pathPrefix = "/" + std::to_string(version) + "/";
        route.split = { { "a", 1 } };
        config.routes.push_back(route);
        state::gateway::fleet_delta delta { false, m_known.asOf, {} };
        delta.changes.asOf = version;
        delta.changes.config = { version, config };
        ASSERT_TRUE(gateway::mergeDelta(m_known, delta).changed);
    }
    const auto changes = protocol::decodeDelta(m_service.encode(m_known, 1, true));
    ASSERT_TRUE(changes.ok() && changes->configChanges);
    EXPECT_EQ(changes->configChanges->routes.size(), 1U);
    EXPECT_FALSE(changes->changes.config.value);
    const auto whole = protocol::decodeDelta(m_service.encode(m_known, 1, false));
    ASSERT_TRUE(whole.ok() && whole->changes.config.value);
    EXPECT_EQ(whole->changes.config.value->routes.size(), 2U);
    EXPECT_FALSE(whole->configChanges);
}

TEST_F(fleet_service_test, Fetch_Served_BothHostsLearnThatItIsComplete)
{
    for (int index = 0; index < 3000; ++index)
        add("s" + std::to_string(index));
    startFetch(800ms);
    EXPECT_EQ(m_requested->ip, "127.0.0.1");
    m_service.serve({ m_requested->id, 0 }, m_known);
    ASSERT_TRUE(runUntil([this] { return !m_finished.empty() && !m_served.empty(); }));
    EXPECT_EQ(m_finished[0].outcome, gateway::fetch_outcome::received);
    EXPECT_GT(m_finished[0].bytes, 30000U);
    EXPECT_EQ(m_received.at(0).changes.servers.size(), 3000U);
    EXPECT_TRUE(m_served[0].complete);
}

TEST_F(fleet_service_test, Fetch_Redirected_NamesTheOtherHost)
{
    startFetch(800ms);
    m_service.redirect({ m_requested->id, "10.0.0.7" });
    ASSERT_TRUE(runUntil([this] { return !m_finished.empty() && !m_served.empty(); }));
    EXPECT_EQ(m_finished[0].outcome, gateway::fetch_outcome::redirected);
    EXPECT_EQ(m_finished[0].next, "10.0.0.7");
}

TEST_F(fleet_service_test, Fetch_Refused_BringsNothing)
{
    startFetch(800ms);
    m_service.refuse({ m_requested->id });
    ASSERT_TRUE(runUntil([this] { return !m_finished.empty(); }));
    EXPECT_EQ(m_finished[0].outcome, gateway::fetch_outcome::refused);
    EXPECT_TRUE(m_received.empty());
}

/// A host that waits in vain must try another one, and the one that it waited for must not count it as served.
TEST_F(fleet_service_test, Fetch_NotAnswered_EndsForBothHosts)
{
    startFetch(200ms);
    ASSERT_TRUE(runUntil([this] { return !m_finished.empty() && !m_served.empty(); }));
    EXPECT_EQ(m_finished[0].outcome, gateway::fetch_outcome::no_answer);
    EXPECT_FALSE(m_served[0].complete);
    m_service.serve({ m_requested->id, 0 }, m_known); // comes too late and must do no harm
}

} // namespace
} // namespace acaciaslip::transport::loop
