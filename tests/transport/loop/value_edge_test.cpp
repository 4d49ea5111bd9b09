#include "transport/loop/value_edge.hpp"

#include "protocol/frame.hpp"
#include "protocol/peer_codec.hpp"
#include "transport/loop/loop_fixture.hpp"

#include <map>

#include <pcg_random.hpp>

namespace acaciaslip::transport::loop {
namespace {

constexpr auto key = "acaciaslip/index";

/// A node that serves a value and one that reads it.
class value_edge_test : public loop_fixture {
protected:
    value_edge_test()
    {
        const int port = raw_server(&m_loop).port();
        run(1ms);
        m_address = "127.0.0.1:" + std::to_string(port);
        EXPECT_TRUE(m_serving.listen(m_address).ok());
    }
    ~value_edge_test() override
    {
        m_serving.close();
        m_reading.close();
        run(1ms);
    }

    /// Answers a request for a value as a node does.
    void answer(const coordination::event& happened)
    {
        const auto& requested = std::get<coordination::value_requested>(happened);
        const bool isNewer = requested.key == key && requested.after < m_revision;
        if (!m_isSilent)
            m_serving.serve({ requested.token, requested.key, isNewer ? m_revision : 0, isNewer ? m_body : "" });
    }

    /// \return what came, or nothing when the read failed
    std::optional<coordination::value_received> read(state::revision after, const std::string& address)
    {
        bool over = false;
        std::optional<coordination::value_received> received;
        m_reading.fetch({ key, after, state::value_source::peer, address, {}, {} }, [&](auto came) {
            over = true;
            received = std::move(came);
        });
        EXPECT_TRUE(runUntil([&] { return over; }));
        return received;
    }

    std::string m_address;
    std::string m_body = "values: {}";
    state::revision m_revision = 7;
    bool m_isSilent = false;
    value_edge m_serving { &m_loop, [this](const coordination::event& happened) { answer(happened); } };
    value_edge m_reading { &m_loop, [](const coordination::event&) {} };
};

TEST_F(value_edge_test, Value_OfOneMegabyte_ComesWhole)
{
    m_body.assign(protocol::maxValueBytes, '\0');
    pcg32 random(6);
    for (auto& letter : m_body)
        letter = static_cast<char>(random());
    const auto received = read(0, m_address);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->number, 7U);
    EXPECT_EQ(received->body, m_body);
    EXPECT_EQ(received->fromAddress, m_address);
}

TEST_F(value_edge_test, Value_NothingNewer_IsSaid)
{
    const auto received = read(7, m_address);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->number, 0U);
}

TEST_F(value_edge_test, Value_WhileOthersSendHalfRequestsAndRandomBytes_IsStillServed)
{
    for (const auto& bytes : { std::string("\0\0", 2), std::string("\0\0\0\x20half", 8),
             std::string("\xff\xff\xff\xff"), std::string("\0\0\0\x04rand", 8), std::string() }) {
        const auto other = connect(m_address);
        ASSERT_TRUE(runUntil([&] { return other->stream != nullptr; }));
        run(5ms);
        other->stream->write(bytes);
    }
    run(50ms);
    EXPECT_TRUE(read(0, m_address));
}

TEST_F(value_edge_test, Peer_SilentOrAway_FailsTheRead)
{
    m_isSilent = true;
    EXPECT_FALSE(read(0, m_address));
    EXPECT_FALSE(read(0, "127.0.0.1:1"));
}

TEST_F(value_edge_test, Peer_AnswersWithRandomBytes_FailsTheRead)
{
    raw_server other(&m_loop);
    for (const auto& bytes :
        { std::string("\xff\xff\xff\xff"), protocol::writeFrame("no answer"), std::string("\0\0", 2) }) {
        other.onBytes = [&](raw_end& end) {
            end.stream->write(bytes);
            end.stream->closeWhenWritten();
        };
        EXPECT_FALSE(read(0, other.address()));
    }
}

} // namespace
} // namespace acaciaslip::transport::loop
