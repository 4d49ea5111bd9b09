#include "transport/loop/http_connection.hpp"

#include "transport/loop/loop_fixture.hpp"

namespace acaciaslip::transport::loop {
namespace {

constexpr const char* requestBytes = "GET / HTTP/1.1\r\n\r\n";

class http_connection_test : public loop_fixture {
protected:
    void open()
    {
        http_connection_callbacks callbacks;
        callbacks.isExpected = [this](const protocol::http::message& answer) {
            return protocol::http::findHeader(answer, "Id").value_or("ours") == "ours" || m_acceptAny;
        };
        callbacks.answered = [this](protocol::http::message answer) { m_answers.push_back(std::move(answer)); };
        callbacks.failed = [this](connection_failure reason) { m_failures.push_back(reason); };
        callbacks.closedWhileIdle = [this] { m_idleClosed = true; };
        m_connection = http_connection::open(&m_loop, *parseAddress(m_server.address()), {}, std::move(callbacks));
    }

    void answer(const std::string& bytes)
    {
        m_server.onReceived = [bytes](test_connection& end) { end.stream->write(bytes); };
    }

    bool exchange()
    {
        open();
        m_connection->send(requestBytes);
        return runUntil([this] { return !m_answers.empty() || !m_failures.empty(); });
    }

    loop_test_server m_server { &m_loop };
    std::shared_ptr<http_connection> m_connection;
    std::vector<protocol::http::message> m_answers;
    std::vector<connection_failure> m_failures;
    bool m_idleClosed = false;
    bool m_acceptAny = false;
};

TEST_F(http_connection_test, Answer_Complete_ConnectionStaysOpen)
{
    answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=7\r\n\r\nhi");
    ASSERT_TRUE(exchange());
    EXPECT_EQ(m_answers.at(0).body, "hi");
    EXPECT_TRUE(m_connection->isIdle());
    EXPECT_EQ(m_connection->keepAliveTimeout(), 7s);
}

TEST_F(http_connection_test, Answer_AfterAnswerToOtherRequest_IsAccepted)
{
    answer("HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny");
    ASSERT_TRUE(exchange());
    EXPECT_EQ(m_answers.at(0).body, "y");
}

TEST_F(http_connection_test, Answer_FollowedByExtraBytes_ConnectionIsNotReused)
{
    answer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nyHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz");
    ASSERT_TRUE(exchange());
    EXPECT_EQ(m_answers.at(0).body, "y");
    EXPECT_FALSE(m_connection->isIdle());
}

TEST_F(http_connection_test, Bytes_ReceivedWhileIdle_CloseConnection)
{
    answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(exchange());
    m_server.connections.at(0)->stream->write("HTTP/1.1 200 OK\r\n");
    EXPECT_TRUE(runUntil([this] { return m_idleClosed; }));
}

TEST_F(http_connection_test, Answer_Truncated_FailsAsCut)
{
    m_server.onReceived = [](test_connection& end) {
        end.stream->write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi");
        end.stream->shutdownAndClose();
    };
    ASSERT_TRUE(exchange());
    EXPECT_EQ(m_failures.at(0), connection_failure::truncated);
}

TEST_F(http_connection_test, Answer_WithoutLength_EndsWhenConnectionCloses)
{
    m_server.onReceived = [](test_connection& end) {
        end.stream->write("HTTP/1.1 200 OK\r\n\r\nhi");
        end.stream->shutdownAndClose();
    };
    ASSERT_TRUE(exchange());
    EXPECT_TRUE(m_answers.at(0).closeDelimited);
    EXPECT_FALSE(m_connection->isIdle());
}

TEST_F(http_connection_test, Answer_WithConnectionClose_ConnectionIsNotReused)
{
    answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(exchange());
    EXPECT_FALSE(m_connection->isIdle());
}

TEST_F(http_connection_test, Server_NotListening_FailsAsNotConnected)
{
    http_connection_callbacks callbacks;
    callbacks.failed = [this](connection_failure reason) { m_failures.push_back(reason); };
    const auto connection = http_connection::open(&m_loop, *parseAddress("127.0.0.1:1"), {}, std::move(callbacks));
    connection->send(requestBytes);
    ASSERT_TRUE(runUntil([this] { return !m_failures.empty(); }));
    EXPECT_EQ(m_failures.at(0), connection_failure::not_connected);
}

} // namespace
} // namespace acaciaslip::transport::loop
