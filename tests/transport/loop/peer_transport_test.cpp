#include "transport/loop/peer_transport.hpp"

#include "transport/loop/endless_answers.hpp"
#include "transport/raw_socket.hpp"

#include <fmt/format.h>

namespace acaciaslip::transport::loop {
namespace {

namespace gateway = coordination::gateway;

class peer_transport_test : public loop_fixture {
protected:
    peer_transport_test()
        : m_datagramPort { findFreePort() }
    {
        EXPECT_TRUE(m_transport.start("127.0.0.1").ok());
    }
    ~peer_transport_test() override
    {
        m_transport.close();
        runFor(1ms);
    }

    /// Fetches from the server and waits for the end.
    void fetch()
    {
        m_fetches = 0;
        m_transport.fetch({ "127.0.0.1", 0, 300ms });
        EXPECT_TRUE(runUntil([this] { return m_fetches == 1; }, 2s));
    }

    int m_datagramPort;
    endless_server m_server { &m_loop };
    int m_fetches = 0;
    int m_updates = 0;
    std::vector<state::gateway::peer_heartbeat> m_heartbeats;
    peer_transport m_transport { &m_loop, m_datagramPort, m_server.port(), [this](const gateway::event& happened) {
                                    m_fetches += std::holds_alternative<gateway::fetch_finished>(happened) ? 1 : 0;
                                    m_updates
                                        += std::holds_alternative<gateway::fleet_update_received>(happened) ? 1 : 0;
                                    if (const auto* heard = std::get_if<gateway::heartbeat_received>(&happened))
                                        m_heartbeats.push_back(heard->message);
                                } };
};

/// Another host may answer a fetch with anything; the fetch must end within its time, so that the next host is asked.
TEST_F(peer_transport_test, FleetAnswers_WithoutEnd_FetchEndsInTimeWithoutUpdate)
{
    for (const auto& answer : endlessAnswers()) {
        SCOPED_TRACE(answer.what);
        m_server.serve(answer);
        fetch();
        EXPECT_TRUE(runUntil([this] { return m_server.isEveryConnectionClosed(); }));
    }
    EXPECT_EQ(m_updates, 0);
}

TEST_F(peer_transport_test, FleetAnswers_ByteByByte_FetchEndsInTimeWithoutUpdate)
{
    m_server.sendSlowly(20ms);
    for (const auto& answer : endlessAnswers()) {
        SCOPED_TRACE(answer.what);
        m_server.serve(answer);
        fetch();
        EXPECT_TRUE(runUntil([this] { return m_server.isEveryConnectionClosed(); }));
    }
    EXPECT_EQ(m_updates, 0);
}

TEST_F(peer_transport_test, Datagrams_OfAnyBytes_AreCountedAndDropped)
{
    udp_socket sender { &m_loop, [](const std::string&, std::string_view) {} };
    ASSERT_TRUE(sender.bind(fmt::format("127.0.0.1:{}", findFreePort())).ok());
    for (const std::size_t size : { 1U, 1400U, 9000U, 60000U })
        sender.send(fmt::format("127.0.0.1:{}", m_datagramPort), std::string(size, '\x01'));
    EXPECT_TRUE(runUntil([this] { return m_transport.rejected() == 4; }));
    EXPECT_TRUE(m_heartbeats.empty());
    sender.close();
}

/// A heartbeat with more than fits into a datagram must arrive without the parts that can be left out.
TEST_F(peer_transport_test, Heartbeat_LimitsOfLongServerIds_ArrivesWithoutThem)
{
    state::gateway::peer_heartbeat heartbeat;
    heartbeat.sender = "127.0.0.1";
    heartbeat.dataCentre = "dc-a";
    heartbeat.peers.assign(24, { "10.0.0.1", "dc-a", 1s });
    heartbeat.limits.assign(8, { std::string(190, 's'), 1.5, state::time_point { 1h } });
    m_transport.sendHeartbeat({ "127.0.0.1", heartbeat });
    ASSERT_TRUE(runUntil([this] { return !m_heartbeats.empty(); }));
    EXPECT_EQ(m_heartbeats[0].peers.size(), 24U);
    EXPECT_TRUE(m_heartbeats[0].limits.empty());
}

/// Guards against a host that others take for gone because its heartbeats exceed a datagram.
TEST_F(peer_transport_test, Heartbeat_CrashesOfLongServerIds_ArrivesWithoutThem)
{
    state::gateway::peer_heartbeat heartbeat;
    heartbeat.sender = "127.0.0.1";
    heartbeat.dataCentre = "dc-a";
    heartbeat.peers.assign(24, { "10.0.0.1", "dc-a", 1s });
    heartbeat.limits = { { "s1", 1.5, state::time_point { 1h } } };
    const state::gateway::server_crash crash { std::string(500, 's'), state::time_point { 1h },
        state::time_point { 1h } };
    heartbeat.crashes = { { { 1, 8 }, { crash, crash, crash }, std::nullopt, state::time_point { 1h },
        state::gateway::digest_scope::exact, {} } };
    m_transport.sendHeartbeat({ "127.0.0.1", heartbeat });
    heartbeat.limits.clear();
    m_transport.sendHeartbeat({ "127.0.0.1", heartbeat });
    ASSERT_TRUE(runUntil([this] { return m_heartbeats.size() == 2; }));
    EXPECT_EQ(m_heartbeats[0].limits.size(), 1U);
    for (const auto& received : m_heartbeats) {
        EXPECT_EQ(received.peers.size(), 24U);
        EXPECT_TRUE(received.crashes.empty());
    }
}

} // namespace
} // namespace acaciaslip::transport::loop
