#include "transport/loop/udp_socket.hpp"

#include "transport/loop/loop_fixture.hpp"
#include "transport/raw_socket.hpp"

#include <fmt/format.h>

namespace acaciaslip::transport::loop {
namespace {

struct received_datagram {
    std::string from;
    std::string bytes;
};

class udp_socket_test : public loop_fixture {
protected:
    ~udp_socket_test() override
    {
        m_sender.close();
        m_receiver.close();
        runFor(1ms);
    }

    std::string m_from = fmt::format("127.0.0.1:{}", findFreePort());
    std::string m_to = fmt::format("127.0.0.1:{}", findFreePort());
    std::vector<received_datagram> m_received;
    udp_socket m_sender { &m_loop, [](const std::string&, std::string_view) {} };
    udp_socket m_receiver { &m_loop, [this](const std::string& from, std::string_view bytes) {
                               m_received.push_back({ from, std::string(bytes) });
                           } };
};

TEST_F(udp_socket_test, Datagram_Sent_IsReceivedWithSenderAddress)
{
    ASSERT_TRUE(m_sender.bind(m_from).ok());
    ASSERT_TRUE(m_receiver.bind(m_to).ok());
    m_sender.send(m_to, "hello");
    ASSERT_TRUE(runUntil([&] { return !m_received.empty(); }));
    EXPECT_EQ(m_received[0].from, m_from);
    EXPECT_EQ(m_received[0].bytes, "hello");
}

TEST_F(udp_socket_test, Bind_AddressInUse_ReturnsErrorWithAddress)
{
    ASSERT_TRUE(m_sender.bind(m_to).ok());
    const auto status = m_receiver.bind(m_to);
    EXPECT_EQ(status.code(), absl::StatusCode::kUnavailable);
    EXPECT_NE(status.message().find(m_to), std::string::npos);
}

} // namespace
} // namespace acaciaslip::transport::loop
