#include "transport/loop/attempt_connections.hpp"

#include "protocol/node_http_messages.hpp"
#include "transport/loop/boot_clock.hpp"
#include "transport/loop/loop_fixture.hpp"
#include "transport/raw_socket.hpp"

#include <algorithm>
#include <memory>
#include <mutex>

#include <gtest/gtest.h>

namespace acaciaslip::transport::loop {
namespace {

using outcome = state::attempt_outcome;

/// Connects to a server that runs on its own thread and sends the answers given by the test.
class attempt_connections_test : public loop_fixture {
protected:
    using reply_maker = std::function<std::string(const std::string& request)>;

    /// Starts a server that answers each request with the return value of `reply`.
    void serve(const reply_maker& reply)
    {
        m_server = std::make_unique<transport::loop_test_server>([this, reply](raw_socket& connection) {
            for (;;) {
                const auto request = connection.readRequest();
                if (request.find("\r\n\r\n") == std::string::npos)
                    return;
                {
                    const std::lock_guard lock(m_mutex);
                    m_requests.push_back(request);
                }
                const auto text = reply(request);
                connection.send(text);
                if (text.empty() || findHeader(text, "Connection") == "close" || m_closesAfterAnswer)
                    return;
            }
        });
    }

    void createConnections()
    {
        m_limits.bodyBytes = 100000;
        m_connections
            = std::make_unique<attempt_connections>(&m_loop, "n1", m_limits, [this](coordination::event happened) {
                  m_finished.push_back(std::get<coordination::attempt_finished>(std::move(happened)));
              });
    }

    void TearDown() override
    {
        m_released = true;
        m_connections.reset();
        runFor(1ms);
    }

    [[nodiscard]] coordination::send_attempt makeAttempt(std::uint64_t id, state::payload_pointer body = nullptr)
    {
        if (!body) {
            protocol::http::message request;
            request.method = m_method;
            request.target = "/a%20b?c";
            request.headers = { { "Host", "h" }, { "X", "1" }, { "X", "2" } };
            request.body = m_body;
            body = std::make_shared<protocol::http_payload>(std::move(request));
        }
        const auto now = bootNow();
        return { state::attempt_id { id }, "s1", m_server->address(), now + m_timeout, now + m_timeout,
            m_connectionLimit, body };
    }

    [[nodiscard]] coordination::attempt_finished waitFor(std::uint64_t id)
    {
        const auto find = [&] {
            return std::find_if(m_finished.begin(), m_finished.end(),
                [&](const auto& finished) { return finished.id == state::attempt_id { id }; });
        };
        EXPECT_TRUE(runUntil([&] { return find() != m_finished.end(); }, 20s)) << "attempt " << id;
        return find() == m_finished.end() ? coordination::attempt_finished {} : *find();
    }

    /// Runs the loop until a condition holds that is set on the server's thread.
    [[nodiscard]] bool runUntilServer(const std::function<bool()>& holds)
    {
        for (int round = 0; round < 1000 && !holds(); ++round)
            runFor(10ms);
        return holds();
    }

    [[nodiscard]] static const protocol::http::message& answerOf(const coordination::attempt_finished& finished)
    {
        return static_cast<const protocol::http_payload&>(*finished.answer).httpMessage;
    }

    [[nodiscard]] coordination::attempt_finished sendAndWait(std::uint64_t id)
    {
        m_connections->send(makeAttempt(id));
        return waitFor(id);
    }

    [[nodiscard]] std::string request(std::size_t index)
    {
        const std::lock_guard lock(m_mutex);
        return index < m_requests.size() ? m_requests[index] : "";
    }

    [[nodiscard]] std::size_t requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.size();
    }

    [[nodiscard]] static std::string echo(const std::string& request)
    {
        return "HTTP/1.1 200 OK\r\nAcaciaslip-Request: " + findHeader(request, "Acaciaslip-Request") + "\r\n";
    }

    [[nodiscard]] static std::string answerWith(const std::string& request, const std::string& body)
    {
        return echo(request) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::mutex m_mutex;
    std::vector<coordination::attempt_finished> m_finished;
    std::vector<std::string> m_requests;
    std::atomic<bool> m_released = false; ///< set to release a server that delays its answer
    /// The server closes each connection after its answer, without "Connection: close".
    std::atomic<bool> m_closesAfterAnswer = false;
    std::string m_method = "POST";
    std::string m_body = "{}";
    state::duration m_timeout = 10s;
    std::uint32_t m_connectionLimit = 8;
    protocol::http::message_limits m_limits;
    std::unique_ptr<transport::loop_test_server> m_server;
    std::unique_ptr<attempt_connections> m_connections;
};

TEST_F(attempt_connections_test, Answer_Complete_IsForwardedAndConnectionReused)
{
    serve([](const std::string& request) {
        return echo(request) + "Set-Cookie: a=%0d%0a\r\nConnection: X\r\nX: hop\r\nAcaciaslip-Verdict: forged\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    });
    createConnections();
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const auto finished = sendAndWait(id);
        ASSERT_EQ(finished.outcome, outcome::answered);
        const auto& answer = answerOf(finished);
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(answer.body, "abc");
        ASSERT_EQ(answer.headers.size(), 1U);
        EXPECT_EQ(answer.headers[0].name, "Set-Cookie");
        EXPECT_EQ(answer.headers[0].value, "a=%0d%0a");
    }
    EXPECT_EQ(m_server->connections(), 1);
    EXPECT_EQ(request(0).substr(0, 24), "POST /a%20b?c HTTP/1.1\r\n");
    EXPECT_EQ(findHeader(request(0), "Acaciaslip-Request"), "n1-1");
    EXPECT_EQ(request(0).substr(request(0).find("\r\n\r\n")), "\r\n\r\n{}");
}

TEST_F(attempt_connections_test, Answer_WithDifferentId_IsMismatchedAndConnectionClosed)
{
    serve([](const std::string& request) {
        return "HTTP/1.1 200 OK\r\nAcaciaslip-Request: x" + findHeader(request, "Acaciaslip-Request")
            + "\r\nContent-Length: 2\r\n\r\nab";
    });
    createConnections();
    EXPECT_EQ(sendAndWait(1).outcome, outcome::mismatched);
    EXPECT_EQ(sendAndWait(2).outcome, outcome::mismatched);
    EXPECT_EQ(m_server->connections(), 2);
}

TEST_F(attempt_connections_test, Answer_AfterAttemptTimedOut_IsNotMatchedToLaterAttempt)
{
    serve([this](const std::string& request) {
        if (findHeader(request, "Acaciaslip-Request") == "n1-1")
            std::this_thread::sleep_for(300ms);
        return answerWith(request, findHeader(request, "Acaciaslip-Request"));
    });
    createConnections();
    m_timeout = 50ms;
    EXPECT_EQ(sendAndWait(1).outcome, outcome::timed_out);
    m_timeout = 10s;
    for (std::uint64_t id = 2; id < 20; ++id) {
        const auto finished = sendAndWait(id);
        ASSERT_EQ(finished.outcome, outcome::answered);
        EXPECT_EQ(answerOf(finished).body, "n1-" + std::to_string(id));
        runFor(20ms);
    }
}

TEST_F(attempt_connections_test, Answer_TruncatedOrInvalid_IsNotForwarded)
{
    const std::vector<std::pair<std::string, outcome>> cases {
        { "Content-Length: 5\r\nConnection: close\r\n\r\nabc", outcome::cut },
        { "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nabcde\r\n", outcome::cut },
        { "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdef\r\n0\r\n\r\n", outcome::mismatched },
        { "Connection: close\r\n\r\nabc", outcome::mismatched },
        { "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc", outcome::mismatched },
        { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", outcome::mismatched },
        { "Content-Length: 100001\r\n\r\n", outcome::mismatched },
        { "Acaciaslip-Request: n1-77\r\nContent-Length: 3\r\n\r\nabc", outcome::mismatched },
    };
    std::atomic<std::size_t> index = 0; // read on the server's thread
    serve([&](const std::string& request) { return echo(request) + cases[index].first; });
    createConnections();
    for (; index < cases.size(); ++index) {
        const auto finished = sendAndWait(index + 1);
        EXPECT_EQ(finished.outcome, cases[index].second) << cases[index].first;
        EXPECT_FALSE(finished.answer);
        EXPECT_EQ(state::verdictOf(finished.outcome), state::verdict::may_have_run);
    }
    EXPECT_EQ(m_server->connections(), static_cast<int>(cases.size()));
}

/// Guards against an answer of a server in trouble that is passed on to a caller.
TEST_F(attempt_connections_test, Answer_StatusOrFieldNameMalformed_IsNotForwarded)
{
    const std::vector<std::pair<std::string, std::string>> cases { { "000", "" }, { "600", "" }, { "101", "" },
        { "200", "A b: c\r\n" }, { "200", "A\x01: c\r\n" }, { "200", "Content-Length : 2\r\n" } };
    std::atomic<std::size_t> index = 0; // read on the server's thread
    serve([&](const std::string& request) {
        const auto& [status, field] = cases[index];
        const auto start = echo(request);
        return "HTTP/1.1 " + status + start.substr(start.find(" OK")) + field + "Content-Length: 2\r\n\r\nhi";
    });
    createConnections();
    for (; index < cases.size(); ++index) {
        const auto finished = sendAndWait(index + 1);
        EXPECT_EQ(finished.outcome, outcome::mismatched) << cases[index].first << cases[index].second;
        EXPECT_FALSE(finished.answer);
    }
}

TEST_F(attempt_connections_test, Answer_FollowedByExtraBytes_ClosesConnection)
{
    serve([](const std::string& request) { return answerWith(request, "ab") + "HTTP/1.1 200 OK\r\n"; });
    createConnections();
    EXPECT_EQ(sendAndWait(1).outcome, outcome::answered);
    EXPECT_EQ(sendAndWait(2).outcome, outcome::answered);
    EXPECT_EQ(m_server->connections(), 2);
}

TEST_F(attempt_connections_test, Answer_AfterInterimResponses_IsAccepted)
{
    serve([](const std::string& request) {
        return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answerWith(request, "ab");
    });
    createConnections();
    EXPECT_EQ(sendAndWait(1).outcome, outcome::answered);
    EXPECT_EQ(sendAndWait(2).outcome, outcome::answered);
    EXPECT_EQ(m_server->connections(), 1);
}

TEST_F(attempt_connections_test, Answer_WithoutBody_IsCompleteAfterHeaders)
{
    const std::vector<std::pair<std::string, std::string>> kinds { { "HEAD", "200 OK\r\nContent-Length: 77" },
        { "GET", "204 No Content" }, { "GET", "304 Not Modified\r\nContent-Length: 77" },
        { "GET", "304 Not Modified" } };
    std::atomic<std::size_t> index = 0; // read on the server's thread
    serve([&](const std::string& request) {
        return "HTTP/1.1 " + kinds[index].second
            + "\r\nAcaciaslip-Request: " + findHeader(request, "Acaciaslip-Request") + "\r\n\r\n";
    });
    createConnections();
    m_body.clear();
    for (; index < kinds.size(); ++index) {
        m_method = kinds[index].first;
        const auto finished = sendAndWait(index + 1);
        ASSERT_EQ(finished.outcome, outcome::answered) << kinds[index].second;
        EXPECT_EQ(answerOf(finished).body, "");
    }
    EXPECT_EQ(m_server->connections(), 1);
}

TEST_F(attempt_connections_test, ShedAnswer_WithMatchingId_IsNotRun)
{
    serve([](const std::string& request) {
        return "HTTP/1.1 503 Busy\r\nAcaciaslip-Not-Run: 1\r\nAcaciaslip-Request: "
            + findHeader(request, "Acaciaslip-Request") + "\r\nContent-Length: 0\r\n\r\n";
    });
    createConnections();
    EXPECT_EQ(sendAndWait(1).outcome, outcome::shed);
    EXPECT_EQ(sendAndWait(2).outcome, outcome::shed);
    EXPECT_EQ(m_server->connections(), 1);
}

TEST_F(attempt_connections_test, ShedAnswer_WithDifferentId_IsMismatched)
{
    serve([](const std::string&) {
        return "HTTP/1.1 503 Busy\r\nAcaciaslip-Not-Run: 1\r\nAcaciaslip-Request: n1-99\r\nContent-Length: 0\r\n\r\n";
    });
    createConnections();
    EXPECT_EQ(sendAndWait(1).outcome, outcome::mismatched);
}

TEST_F(attempt_connections_test, Attempt_PermitExpired_WritesNothing)
{
    serve([](const std::string& request) { return answerWith(request, "ab"); });
    createConnections();
    auto late = makeAttempt(1);
    late.sendBefore = bootNow() - 1ms;
    m_connections->send(late);
    EXPECT_EQ(waitFor(1).outcome, outcome::expired);
    EXPECT_EQ(requests(), 0U);
}

TEST_F(attempt_connections_test, Server_NotListening_AttemptFailsToConnect)
{
    serve([](const std::string&) { return ""; });
    createConnections();
    auto unreachable = makeAttempt(1);
    unreachable.address = "127.0.0.1:" + std::to_string(findFreePort());
    m_connections->send(unreachable);
    EXPECT_EQ(waitFor(1).outcome, outcome::connect_failed);
}

TEST_F(attempt_connections_test, Write_StalledPartway_IsTimedOutInsteadOfNotConnected)
{
    std::atomic<bool> done = false;
    transport::loop_test_server stalled([&](raw_socket&) { (void)waitUntil([&] { return done.load(); }); });
    serve([](const std::string&) { return ""; });
    createConnections();
    m_body.assign(64UL * 1024 * 1024, 'x');
    m_timeout = 3s; // long enough for the body to be partly sent even on a slow machine
    auto attempt = makeAttempt(1);
    attempt.address = stalled.address();
    m_connections->send(attempt);
    EXPECT_EQ(waitFor(1).outcome, outcome::timed_out);
    done = true;
}

TEST_F(attempt_connections_test, Cancel_AnswerOutstanding_SendsCancelToServer)
{
    serve([&](const std::string& request) -> std::string {
        if (request.find("POST /acaciaslip/cancel") == 0)
            return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        (void)waitUntil([this] { return m_released.load(); });
        return answerWith(request, "late");
    });
    createConnections();
    m_connections->send(makeAttempt(1));
    ASSERT_TRUE(runUntilServer([&] { return requests() == 1; }));
    m_connections->cancel(state::attempt_id { 1 });
    EXPECT_EQ(waitFor(1).outcome, outcome::cancelled);
    EXPECT_TRUE(runUntilServer([&] { return requests() == 2; }));
    EXPECT_EQ(findHeader(request(1), "Acaciaslip-Request"), "n1-1");
    m_released = true;
}

TEST_F(attempt_connections_test, Cancel_AtAnyTime_NotRunAttemptsNeverReachServer)
{
    serve([](const std::string& request) -> std::string {
        if (request.find("POST /acaciaslip/cancel") == 0)
            return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        return answerWith(request, findHeader(request, "Acaciaslip-Request"));
    });
    createConnections();
    std::vector<std::string> notExecuted;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        m_connections->send(makeAttempt(id));
        for (auto iterations = id / 10; iterations > 0; --iterations)
            uv_run(&m_loop, UV_RUN_NOWAIT);
        m_connections->cancel(state::attempt_id { id });
        const auto finished = waitFor(id);
        const auto name = "n1-" + std::to_string(id);
        if (finished.outcome == outcome::answered)
            ASSERT_EQ(answerOf(finished).body, name);
        else if (state::verdictOf(finished.outcome) == state::verdict::not_run)
            notExecuted.push_back(name);
        else
            ASSERT_EQ(finished.outcome, outcome::cancelled);
    }
    m_connections.reset();
    runFor(1ms);
    m_server.reset();
    for (const auto& text : m_requests) {
        const bool isCancel = text.find("POST /acaciaslip/cancel") == 0;
        const auto sentAnyway
            = std::count(notExecuted.begin(), notExecuted.end(), findHeader(text, "Acaciaslip-Request"));
        ASSERT_TRUE(isCancel || sentAnyway == 0) << text;
    }
}

TEST_F(attempt_connections_test, Attempts_ManyToStalledServer_DoNotBlockOtherServers)
{
    std::atomic<bool> done = false;
    transport::loop_test_server stalled([&](raw_socket&) { (void)waitUntil([&] { return done.load(); }); });
    serve([](const std::string& request) { return answerWith(request, "ab"); });
    createConnections();
    m_connectionLimit = 200;
    for (std::uint64_t id = 1; id <= 150; ++id) {
        auto held = makeAttempt(id);
        held.address = stalled.address();
        m_connections->send(held);
    }
    EXPECT_EQ(sendAndWait(200).outcome, outcome::answered)
        << "the attempt to the other server must not wait for the stalled one";
    done = true;
    EXPECT_EQ(waitFor(7).outcome, outcome::cut);
}

TEST_F(attempt_connections_test, Connection_EstablishedAfterPermitExpired_WritesNothing)
{
    serve([](const std::string& request) { return answerWith(request, "ab"); });
    createConnections();
    auto late = makeAttempt(1);
    late.sendBefore = bootNow() + 5ms;
    m_connections->send(late);
    std::this_thread::sleep_for(20ms); // the loop does not run, so the connection is established too late
    EXPECT_EQ(waitFor(1).outcome, outcome::expired);
    EXPECT_EQ(sendAndWait(2).outcome, outcome::answered);
    EXPECT_EQ(requests(), 1U);
}

TEST_F(attempt_connections_test, Connection_ClosedByServerWhileIdle_IsNotReused)
{
    serve([](const std::string& request) { return answerWith(request, "ab"); });
    createConnections();
    m_closesAfterAnswer = true;
    EXPECT_EQ(sendAndWait(1).outcome, outcome::answered);
    std::this_thread::sleep_for(20ms); // the loop does not run, so it has not noticed that the server closed
    EXPECT_EQ(sendAndWait(2).outcome, outcome::answered);
}

TEST_F(attempt_connections_test, Connections_LimitReached_AttemptFailsAtOnce)
{
    serve([&](const std::string& request) {
        (void)waitUntil([this] { return m_released.load(); });
        return answerWith(request, "ab");
    });
    createConnections();
    m_connectionLimit = 1;
    m_connections->send(makeAttempt(1));
    ASSERT_TRUE(runUntilServer([&] { return requests() == 1; }));
    EXPECT_EQ(sendAndWait(2).outcome, outcome::no_connection);
    m_released = true;
    EXPECT_EQ(waitFor(1).outcome, outcome::answered);
}

TEST_F(attempt_connections_test, Connection_IdleTooLong_IsReplacedAndClosed)
{
    serve([](const std::string& request) { return answerWith(request, "ab"); });
    createConnections();
    EXPECT_EQ(sendAndWait(1).outcome, outcome::answered);
    EXPECT_EQ(sendAndWait(2).outcome, outcome::answered);
    EXPECT_EQ(m_server->connections(), 1);
    m_connections->setMaxIdleTime(20ms);
    runFor(30ms);
    EXPECT_EQ(sendAndWait(3).outcome, outcome::answered);
    EXPECT_EQ(m_server->connections(), 2);
    EXPECT_TRUE(runUntil([&] { return m_connections->openConnections() == 0; }))
        << "the idle connection to a server that is no longer used was not closed";
}

} // namespace
} // namespace acaciaslip::transport::loop
