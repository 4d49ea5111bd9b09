#include "transport/loop/node_daemon.hpp"

#include "protocol/peer_codec.hpp"
#include "transport/raw_socket.hpp"

#include <thread>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gmock/gmock.h>
#include <pcg_random.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace acaciaslip::transport::loop {
namespace {

using testing::HasSubstr;
using namespace std::chrono_literals;

/// A complete node without a platform, running on its own thread.
class node_daemon_test : public testing::Test {
protected:
    node_daemon_test()
    {
        m_settings.id = "entry-a1";
        m_settings.dataCentre = "dc-a";
        for (auto* address : { &m_settings.callerAddress, &m_settings.operatorAddress, &m_settings.peerAddress })
            *address = fmt::format("127.0.0.1:{}", findFreePort());
        m_settings.platformAddresses = { "127.0.0.1:1" };
        m_settings.lameDuck = 20ms;
        m_settings.logLevel = "error";
    }

    void start()
    {
        m_daemon = std::make_unique<node_daemon>(m_settings);
        ASSERT_TRUE(m_daemon->start().ok());
        m_thread = std::thread([this] { m_daemon->run(); });
    }

    void TearDown() override
    {
        if (!m_thread.joinable())
            return;
        (void)queryOperators("POST /drain");
        m_thread.join();
    }

    static int portOf(const std::string& address) { return std::stoi(address.substr(address.find(':') + 1)); }

    [[nodiscard]] std::string queryOperators(const std::string& request) const
    {
        auto operators = raw_socket::connect(portOf(m_settings.operatorAddress));
        operators.send(request + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return operators.readToEnd();
    }

    void sendDatagram(const std::string& bytes) const
    {
        const int raw = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(portOf(m_settings.peerAddress)));
        inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
        sendto(raw, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
        close(raw);
    }

    /// Value of a counter in the /metrics output; -1 if it is missing.
    [[nodiscard]] int counterValue(const std::string& name) const
    {
        const auto text = queryOperators("GET /metrics");
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stoi(text.substr(at + name.size() + 2));
    }

    state::node_settings m_settings;
    std::unique_ptr<node_daemon> m_daemon;
    std::thread m_thread;
};

TEST_F(node_daemon_test, Datagrams_WithRandomBytes_AreDroppedAndCounted)
{
    start();
    pcg32 random(5);
    for (int round = 0; round < 50; ++round) {
        std::string bytes(random(3000), '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(random());
        sendDatagram(bytes);
    }
    EXPECT_TRUE(waitUntil([&] { return counterValue("acaciaslip_peer_messages_dropped_total") >= 25; }));
    EXPECT_EQ(counterValue("acaciaslip_peer_messages_taken_total"), 0);
}

TEST_F(node_daemon_test, Datagram_FromUnknownPeer_IsDecodedAndDropped)
{
    start();
    state::peer_message message;
    message.sender = "b";
    message.incarnation = 1;
    message.sequence = 1;
    sendDatagram(*protocol::encodeDatagram(message));
    EXPECT_TRUE(waitUntil([&] {
        return queryOperators("GET /dump").find("\"peer_messages_unknown\": 1") != std::string::npos;
    })) << queryOperators("GET /dump");
}

TEST_F(node_daemon_test, OperatorsPort_EachPath_ReturnsExpectedStatus)
{
    start();
    EXPECT_THAT(queryOperators("GET /health"), HasSubstr("HTTP/1.1 503"));
    EXPECT_THAT(queryOperators("GET /health"), HasSubstr("{\"state\":\"starting\"}"));
    EXPECT_THAT(queryOperators("GET /dump"), HasSubstr("\"entry-a1\""));
    EXPECT_THAT(queryOperators("GET /metrics"), HasSubstr("acaciaslip_phase{phase=\"starting\"} 1"));
    EXPECT_THAT(queryOperators("GET /drain"), HasSubstr("HTTP/1.1 405"));
    EXPECT_THAT(queryOperators("GET /other"), HasSubstr("HTTP/1.1 404"));
}

TEST_F(node_daemon_test, Request_BeforeAnySettings_IsRefusedAsNotRun)
{
    start();
    auto caller = raw_socket::connect(portOf(m_settings.callerAddress));
    caller.send("GET /routes HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto text = caller.readToEnd();
    EXPECT_THAT(text, HasSubstr("HTTP/1.1 503"));
    EXPECT_EQ(findHeader(text, "Acaciaslip-Verdict"), "not_run");
}

TEST_F(node_daemon_test, Start_AddressInUse_ReturnsErrorWithAddress)
{
    start();
    for (auto member : { &state::node_settings::callerAddress, &state::node_settings::operatorAddress,
             &state::node_settings::peerAddress }) {
        auto settings = m_settings;
        for (auto* address : { &settings.callerAddress, &settings.operatorAddress, &settings.peerAddress })
            *address = fmt::format("127.0.0.1:{}", findFreePort());
        settings.*member = m_settings.*member;
        node_daemon second(settings);
        const auto status = second.start();
        EXPECT_EQ(status.code(), absl::StatusCode::kUnavailable);
        EXPECT_THAT(std::string(status.message()), HasSubstr(settings.*member));
    }
}

} // namespace
} // namespace acaciaslip::transport::loop
