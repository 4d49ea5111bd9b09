#include "transport/loop/value_exchange.hpp"

#include "protocol/frame.hpp"
#include "protocol/peer_codec.hpp"
#include "transport/loop/loop_fixture.hpp"

#include <map>

#include <pcg_random.hpp>

namespace acaciaslip::transport::loop {
namespace {

constexpr auto key = "acaciaslip/index";

/// One node that serves a value and another one that reads it.
class value_exchange_test : public loop_fixture {
protected:
    value_exchange_test()
    {
        const int port = loop_test_server(&m_loop).port();
        runFor(1ms);
        m_address = "127.0.0.1:" + std::to_string(port);
        EXPECT_TRUE(m_server.listen(m_address).ok());
    }
    ~value_exchange_test() override
    {
        m_server.close();
        m_reader.close();
        runFor(1ms);
    }

    /// Responds to a request for a value like a node: with the value if its revision is newer, otherwise with
    /// revision 0.
    void answer(const coordination::event& event)
    {
        const auto& requested = std::get<coordination::value_requested>(event);
        const bool isNewer = requested.key == key && requested.after < m_revision;
        if (!m_ignoresRequests)
            m_server.reply({ requested.replyToken, requested.key, isNewer ? m_revision : 0, isNewer ? m_body : "" });
    }

    /// \return the response, or nothing if the read failed
    std::optional<coordination::value_received> read(state::revision after, const std::string& address)
    {
        bool finished = false;
        std::optional<coordination::value_received> received;
        m_reader.fetch({ key, after, state::value_source::peer, address, {}, {} }, [&](auto result) {
            finished = true;
            received = std::move(result);
        });
        EXPECT_TRUE(runUntil([&] { return finished; }));
        return received;
    }

    std::string m_address;
    std::string m_body = "values: {}";
    state::revision m_revision = 7;
    bool m_ignoresRequests = false;
    value_exchange m_server { &m_loop, [this](const coordination::event& event) { answer(event); } };
    value_exchange m_reader { &m_loop, [](const coordination::event&) {} };
};

TEST_F(value_exchange_test, Value_OfMaximumSize_IsReceivedUnchanged)
{
    m_body.assign(protocol::maxValueBytes, '\0');
    pcg32 random(6);
    for (auto& byte : m_body)
        byte = static_cast<char>(random());
    const auto received = read(0, m_address);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->number, 7U);
    EXPECT_EQ(received->body, m_body);
    EXPECT_EQ(received->fromAddress, m_address);
}

TEST_F(value_exchange_test, Read_NoNewerRevision_ReturnsRevisionZero)
{
    const auto received = read(7, m_address);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->number, 0U);
}

TEST_F(value_exchange_test, Read_WhileOtherConnectionsSendPartialOrMalformedRequests_Succeeds)
{
    for (const auto& bytes : { std::string("\0\0", 2), std::string("\0\0\0\x20half", 8),
             std::string("\xff\xff\xff\xff"), std::string("\0\0\0\x04rand", 8), std::string() }) {
        const auto other = connect(m_address);
        ASSERT_TRUE(runUntil([&] { return other->stream != nullptr; }));
        runFor(5ms);
        other->stream->write(bytes);
    }
    runFor(50ms);
    EXPECT_TRUE(read(0, m_address));
}

TEST_F(value_exchange_test, Read_PeerDoesNotRespondOrIsUnreachable_Fails)
{
    m_ignoresRequests = true;
    EXPECT_FALSE(read(0, m_address));
    EXPECT_FALSE(read(0, "127.0.0.1:1"));
}

TEST_F(value_exchange_test, Read_PeerSendsMalformedResponse_Fails)
{
    loop_test_server other(&m_loop);
    for (const auto& bytes :
        { std::string("\xff\xff\xff\xff"), protocol::writeFrame("no answer"), std::string("\0\0", 2) }) {
        other.onReceived = [&](test_connection& end) {
            end.stream->write(bytes);
            end.stream->shutdownAndClose();
        };
        EXPECT_FALSE(read(0, other.address()));
    }
}

} // namespace
} // namespace acaciaslip::transport::loop
