#include "transport/loop/http_connection.hpp"
#include "transport/loop/loop_fixture.hpp"
#include "transport/raw_socket.hpp"

#include <atomic>
#include <csignal>
#include <optional>

namespace acaciaslip::transport::loop {
namespace {

constexpr const char* unframedAnswer = "HTTP/1.1 200 OK\r\n\r\npart of the body";
constexpr std::size_t uploadBytes = 33554432; ///< more than the buffers of a connection hold

/// The server ends its answer while the event loop does not run, so that the last bytes and the end of the connection
/// are both pending when the loop polls.
class reset_answer_test : public loop_fixture {
protected:
    reset_answer_test()
    {
        (void)std::signal(SIGPIPE, SIG_IGN); // as the program does
    }

    /// \param end called by the server after it has read the head of the request
    void exchange(const std::string& body, const std::function<void(raw_socket&)>& end)
    {
        std::atomic<bool> sent = false;
        std::atomic<bool> ended = false;
        transport::loop_test_server server([&](raw_socket& connection) {
            (void)connection.readUntil("\r\n\r\n");
            (void)waitUntil([&] { return sent.load(); });
            end(connection);
            ended = true;
            (void)waitUntil([this] { return m_finished.load(); });
        });
        http_connection_callbacks callbacks;
        callbacks.isExpected = [](const protocol::http::message&) { return true; };
        callbacks.answered = [this](protocol::http::message answer) { m_answer = std::move(answer); };
        callbacks.failed = [this](connection_failure reason) { m_failure = reason; };
        callbacks.closedWhileIdle = [] {};
        const auto connection
            = http_connection::open(&m_loop, *parseAddress(server.address()), {}, std::move(callbacks));
        EXPECT_TRUE(runUntil([&] { return connection->isConnected(); }));
        connection->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        sent = true;
        EXPECT_TRUE(waitUntil([&] { return ended.load(); }));
        EXPECT_TRUE(runUntil([this] { return m_answer || m_failure; }));
        m_finished = true;
        connection->close();
        runFor(1ms);
    }

    std::atomic<bool> m_finished = false;
    std::optional<protocol::http::message> m_answer;
    std::optional<connection_failure> m_failure;
};

/// Guards against a truncated body that counts as complete.
TEST_F(reset_answer_test, Answer_ResetWhileRequestIsWritten_IsTruncated)
{
    exchange(std::string(uploadBytes, 'x'), [](raw_socket& server) {
        server.send(unframedAnswer);
        server.reset();
    });
    EXPECT_FALSE(m_answer);
    EXPECT_EQ(m_failure, connection_failure::truncated);
}

TEST_F(reset_answer_test, Answer_ResetAfterRequestIsWritten_IsTruncated)
{
    exchange("x", [](raw_socket& server) {
        server.send(unframedAnswer);
        server.reset();
    });
    EXPECT_FALSE(m_answer);
    EXPECT_EQ(m_failure, connection_failure::truncated);
}

/// The system resets a connection that is closed while bytes of the request are unread.
TEST_F(reset_answer_test, Answer_ServerEndsWithoutReadingRequest_IsTruncated)
{
    exchange(std::string(uploadBytes, 'x'), [](raw_socket& server) {
        server.send(unframedAnswer);
        server.close();
    });
    EXPECT_FALSE(m_answer);
    EXPECT_EQ(m_failure, connection_failure::truncated);
}

/// An end of stream ends such an answer, also if the server then drops the rest of the request.
TEST_F(reset_answer_test, Answer_EndsBeforeReset_IsComplete)
{
    exchange(std::string(uploadBytes, 'x'), [](raw_socket& server) {
        server.send(unframedAnswer);
        server.shutdownSending();
        server.reset();
    });
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->body, "part of the body");
}

TEST_F(reset_answer_test, Answer_ServerClosesInGoodOrder_IsComplete)
{
    exchange("x", [](raw_socket& server) {
        (void)server.readUntil("x");
        server.send(unframedAnswer);
        server.close();
    });
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->body, "part of the body");
}

} // namespace
} // namespace acaciaslip::transport::loop
