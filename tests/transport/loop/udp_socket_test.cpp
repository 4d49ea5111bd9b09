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
        m_sending.close();
        m_hearing.close();
        run(1ms);
    }

    std::string m_from = fmt::format("127.0.0.1:{}", findFreePort());
    std::string m_to = fmt::format("127.0.0.1:{}", findFreePort());
    std::vector<received_datagram> m_received;
    udp_socket m_sending { &m_loop, [](const std::string&, std::string_view) {} };
    udp_socket m_hearing { &m_loop, [this](const std::string& from, std::string_view bytes) {
                              m_received.push_back({ from, std::string(bytes) });
                          } };
};

TEST_F(udp_socket_test, Datagram_Sent_ComesWithItsSendersAddress)
{
    ASSERT_TRUE(m_sending.bind(m_from).ok());
    ASSERT_TRUE(m_hearing.bind(m_to).ok());
    m_sending.send(m_to, "hello");
    ASSERT_TRUE(runUntil([&] { return !m_received.empty(); }));
    EXPECT_EQ(m_received[0].from, m_from);
    EXPECT_EQ(m_received[0].bytes, "hello");
}

TEST_F(udp_socket_test, Address_InUse_IsSaid)
{
    ASSERT_TRUE(m_sending.bind(m_to).ok());
    const auto status = m_hearing.bind(m_to);
    EXPECT_EQ(status.code(), absl::StatusCode::kUnavailable);
    EXPECT_NE(status.message().find(m_to), std::string::npos);
}

} // namespace
} // namespace acaciaslip::transport::loop
