#include "transport/loop/node_caller_server.hpp"

#include "transport/loop/loop_thread.hpp"
#include "transport/raw_socket.hpp"

#include <memory>
#include <mutex>
#include <random>

#include <gtest/gtest.h>

namespace acaciaslip::transport::loop {
namespace {

using namespace std::chrono_literals;

constexpr auto lookup = "GET /routes HTTP/1.1\r\nHost: h\r\n\r\n";

/// A caller server with the test in place of the node. The test answers each request with an echo of its method, target
/// and body, or holds the answer back.
class node_caller_server_test : public testing::Test {
protected:
    node_caller_server_test()
    {
        m_limits.newConnectionTimeout = 50ms;
        m_limits.message.bodyBytes = 1000;
        m_answer.status = 200;
        m_answer.reason = "OK";
    }

    void SetUp() override { startServer(); }
    void TearDown() override { stopServer(); }

    void startServer()
    {
        m_loop.call([this] {
            m_server = std::make_unique<node_caller_server>(
                m_loop.handle(), m_limits, [this](const coordination::event& happened) { handleEvent(happened); });
            ASSERT_TRUE(m_server->listen("127.0.0.1:0").ok());
            m_port = m_server->port();
        });
    }

    /// Shuts the server down gracefully, as a node does, and waits until that has finished.
    void stopServer()
    {
        std::promise<void> stopped;
        m_loop.post([&] {
            if (m_server)
                m_server->stop([&] { stopped.set_value(); });
            else
                stopped.set_value();
        });
        stopped.get_future().wait();
        m_loop.call([this] { m_server.reset(); });
    }

    void restartServer()
    {
        stopServer();
        startServer();
    }

    [[nodiscard]] raw_socket connect() const { return raw_socket::connect(m_port); }

    [[nodiscard]] std::size_t openConnections()
    {
        return m_loop.call([this] { return m_server ? m_server->openConnections() : 0; });
    }

    /// Runs on the loop's thread.
    void handleEvent(const coordination::event& happened)
    {
        if (const auto* disconnected = std::get_if<coordination::caller_disconnected>(&happened)) {
            const std::lock_guard lock(m_mutex);
            m_disconnected.push_back(disconnected->id);
        }
        const auto* arrived = std::get_if<coordination::request_arrived>(&happened);
        if (arrived == nullptr)
            return;
        {
            const std::lock_guard lock(m_mutex);
            m_arrived.push_back(*arrived);
        }
        if (!m_holdAnswers)
            m_server->answer(makeAnswer(*arrived));
    }

    [[nodiscard]] static const protocol::http::message& messageOf(const coordination::request_arrived& arrived)
    {
        return static_cast<const protocol::http_payload&>(*arrived.body).httpMessage;
    }

    [[nodiscard]] static std::size_t countHeaders(const coordination::request_arrived& arrived, const char* name)
    {
        return protocol::http::countHeaders(messageOf(arrived), name);
    }

    [[nodiscard]] coordination::answer_caller makeAnswer(const coordination::request_arrived& arrived) const
    {
        const auto& request = messageOf(arrived);
        auto made = m_answer;
        if (made.body.empty() && made.status == 200)
            made.body = "answer to " + request.method + ' ' + request.target + ' ' + request.body + ";";
        return { arrived.id, "s1", 1, m_closeConnection, std::make_shared<protocol::http_payload>(std::move(made)) };
    }

    void answer(const coordination::request_arrived& arrived)
    {
        m_loop.call([&] { m_server->answer(makeAnswer(arrived)); });
    }

    [[nodiscard]] std::size_t arrivals()
    {
        const std::lock_guard lock(m_mutex);
        return m_arrived.size();
    }

    [[nodiscard]] coordination::request_arrived arrival(std::size_t index)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrived.at(index);
    }

    /// Sends bytes after which the server closes the connection.
    /// \return all bytes received
    [[nodiscard]] std::string sendAndReadToEnd(const std::string& bytes) const
    {
        auto caller = connect();
        caller.send(bytes);
        return caller.readToEnd();
    }

    loop_thread m_loop;
    int m_port = 0;
    caller_limits m_limits;
    std::unique_ptr<node_caller_server> m_server; ///< used only on the loop's thread
    std::atomic<bool> m_holdAnswers = false;
    bool m_closeConnection = false;
    std::mutex m_mutex;
    std::vector<coordination::request_arrived> m_arrived;
    std::vector<state::request_id> m_disconnected;
    protocol::http::message m_answer; ///< copied into each answer; an empty body is replaced by an echo of the request
};

TEST_F(node_caller_server_test, Requests_Pipelined_AreAnsweredInOrder)
{
    auto caller = connect();
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
                "PUT /c?d=%20 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nuv\r\n1\r\nw\r\n0\r\n\r\n");
    const auto text = caller.readUntil(";", 3);
    const auto first = text.find("answer to POST /a xy;");
    const auto second = text.find("answer to GET /b ;");
    const auto third = text.find("answer to PUT /c?d=%20 uvw;");
    ASSERT_NE(third, std::string::npos) << text;
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
    EXPECT_EQ(findHeader(text, "Acaciaslip-Verdict"), "ran");
    EXPECT_EQ(findHeader(text, "Acaciaslip-Server"), "s1");
}

TEST_F(node_caller_server_test, GetRequest_WithBody_BodyIsNotParsedAsNextRequest)
{
    auto caller = connect();
    const std::string body = "GET /evil HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body
        + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto text = caller.readToEnd();
    EXPECT_NE(text.find("answer to GET /b"), std::string::npos) << text;
    EXPECT_EQ(arrivals(), 2U);
}

TEST_F(node_caller_server_test, Request_AmbiguousFraming_IsRefusedAndLaterBytesAreIgnored)
{
    const std::string next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const std::string head :
        { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "\r\n\r\n" }) {
        const auto text = sendAndReadToEnd(head + next);
        EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 400") << head;
        EXPECT_EQ(findHeader(text, "Acaciaslip-Verdict"), "not_run") << head;
        EXPECT_EQ(findHeader(text, "Connection"), "close") << head;
        EXPECT_EQ(text.find("HTTP/1.1", 5), std::string::npos) << head;
    }
    EXPECT_EQ(arrivals(), 0U);
}

TEST_F(node_caller_server_test, Request_OverSizeLimits_IsRefusedWithMatchingStatus)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(sendAndReadToEnd(start + "Content-Length: 1001\r\n\r\n").substr(9, 3), "413");
    EXPECT_EQ(sendAndReadToEnd(start + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n").substr(9, 3), "413");
    EXPECT_EQ(sendAndReadToEnd(start + "A: " + std::string(100000, 'a')).substr(9, 3), "431");
    EXPECT_EQ(arrivals(), 0U);
}

TEST_F(node_caller_server_test, Headers_EndToEnd_AreUnchangedAndHopByHopOnesRemoved)
{
    (void)sendAndReadToEnd(
        "GET /a%2Fb HTTP/1.1\r\nHost: h:80\r\nVia: one\r\nVia: two\r\nX: a%0d%0ab\r\nRange: what=1\r\n"
        "Accept-Encoding: gzip\r\nConnection: close, Secret\r\nSecret: s\r\nAcaciaslip-Request: forged\r\n"
        "Request-Timeout-Ms: 70\r\nIdempotency-Key: k\r\n\r\n");
    ASSERT_EQ(arrivals(), 1U);
    const auto arrived = arrival(0);
    const auto& request = messageOf(arrived);
    const auto header = [&](const char* name) { return protocol::http::findHeader(request, name).value_or(""); };
    EXPECT_EQ(arrived.host, "h");
    EXPECT_EQ(arrived.path, "/a/b");
    EXPECT_EQ(arrived.idempotencyKey, "k");
    EXPECT_EQ(arrived.timeout, 70ms);
    EXPECT_EQ(request.target, "/a%2Fb");
    EXPECT_EQ(countHeaders(arrived, "Via"), 2U);
    EXPECT_EQ(header("X"), "a%0d%0ab");
    EXPECT_EQ(header("Range"), "what=1");
    EXPECT_EQ(countHeaders(arrived, "Accept-Encoding"), 1U);
    EXPECT_EQ(countHeaders(arrived, "Secret") + countHeaders(arrived, "Connection"), 0U);
    EXPECT_EQ(countHeaders(arrived, "Acaciaslip-Request"), 0U);
}

TEST_F(node_caller_server_test, Body_MultipartAndCompressed_IsUnchanged)
{
    const std::string body = "--x\r\nContent-Disposition: form-data; name=a\r\n\r\n1\r\n--x--\r\n";
    (void)sendAndReadToEnd(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Encoding: gzip\r\n"
        "Connection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body);
    ASSERT_EQ(arrivals(), 1U);
    EXPECT_EQ(messageOf(arrival(0)).body, body);
}

TEST_F(node_caller_server_test, Answer_HeadersStatusAndBody_AreForwardedUnchanged)
{
    m_answer.status = 202;
    m_answer.reason = "Taken";
    m_answer.headers = { { "Set-Cookie", "a=%41" }, { "Set-Cookie", "b=2" } };
    m_answer.body = "body";
    const auto text
        = sendAndReadToEnd("GET / HTTP/1.1\r\nHost: h\r\nAccept-Encoding: gzip, br\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(text,
        "HTTP/1.1 202 Taken\r\nSet-Cookie: a=%41\r\nSet-Cookie: b=2\r\nAcaciaslip-Verdict: ran\r\nAcaciaslip-Server: "
        "s1\r\nAcaciaslip-Attempts: 1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
}

TEST_F(node_caller_server_test, Answer_WithoutBody_IsFramedAccordingToStatus)
{
    auto caller = connect();
    m_answer.status = 204;
    caller.send(lookup);
    EXPECT_EQ(findHeader(caller.readUntil("\r\n\r\n"), "Content-Length"), "");
    m_answer.status = 304;
    caller.send(lookup);
    EXPECT_EQ(findHeader(caller.readUntil("\r\n\r\n"), "Content-Length"), "");
    m_answer.status = 200;
    m_answer.headers = { { "Content-Length", "77" } };
    caller.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(findHeader(caller.readUntil("\r\n\r\n"), "Content-Length"), "77");
    caller.send(lookup);
    EXPECT_NE(caller.readUntil(";").find("answer to GET"), std::string::npos);
}

TEST_F(node_caller_server_test, ExpectHeader_BodyNotSentYet_IsAnsweredWith100Continue)
{
    auto caller = connect();
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_EQ(caller.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("ab");
    EXPECT_NE(caller.readUntil(";").find("answer to POST / ab;"), std::string::npos);
}

TEST_F(node_caller_server_test, LargeBodies_BothDirections_AreForwardedCompletely)
{
    m_limits.message.bodyBytes = 8ULL * 1024 * 1024;
    restartServer();
    const std::string body(m_limits.message.bodyBytes, 'x');
    auto caller = connect();
    caller.send("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto text = caller.readUntil(";");
    EXPECT_EQ(text.size() - text.find("answer to PUT / "), 16 + body.size() + 1);
}

TEST_F(node_caller_server_test, SlowSenders_ManyMoreThanThreads_TimeOutWithoutDelayingOthers)
{
    m_limits.requestTimeout = 500ms;
    restartServer();
    std::vector<raw_socket> slow;
    for (int index = 0; index < 300; ++index) {
        slow.push_back(connect());
        slow.back().send(
            index % 2 == 0 ? "GET / HTTP/1.1\r\nHo" : "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
    }
    auto quick = connect();
    const auto before = std::chrono::steady_clock::now();
    quick.send(lookup);
    EXPECT_NE(quick.readUntil(";").find("answer to GET"), std::string::npos);
    EXPECT_LT(std::chrono::steady_clock::now() - before, 5s);
    for (int dripped = 0; dripped < 3; ++dripped) {
        std::this_thread::sleep_for(150ms);
        for (const auto& caller : slow)
            caller.send("x");
    }
    for (auto& caller : slow) {
        const auto text = caller.readToEnd();
        ASSERT_EQ(text.substr(0, 12), "HTTP/1.1 408");
        ASSERT_EQ(findHeader(text, "Acaciaslip-Verdict"), "not_run");
    }
}

TEST_F(node_caller_server_test, IdleConnections_ManyMoreThanThreads_AreAllServed)
{
    constexpr std::size_t connections = 1000;
    std::vector<raw_socket> callers;
    callers.reserve(connections);
    while (callers.size() < connections)
        callers.push_back(connect());
    for (auto& caller : callers)
        caller.send(lookup);
    for (auto& caller : callers)
        ASSERT_NE(caller.readUntil(";").find("answer to GET"), std::string::npos);
}

TEST_F(node_caller_server_test, Connections_OverLimit_AreRefusedAsNotRun)
{
    m_limits.maxConnections = 2;
    restartServer();
    auto first = connect();
    auto second = connect();
    ASSERT_TRUE(waitUntil([&] { return openConnections() == 2; }));
    const auto text = sendAndReadToEnd(lookup);
    EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(findHeader(text, "Acaciaslip-Verdict"), "not_run");
    EXPECT_EQ(findHeader(text, "Retry-After"), "1");
    first.send(lookup);
    EXPECT_NE(first.readUntil(";").find("answer to GET"), std::string::npos);
}

TEST_F(node_caller_server_test, Request_NotForwardable_IsRefusedWithMatchingStatus)
{
    const std::string rest = " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    for (const auto& [bytes, status] :
        std::vector<std::pair<std::string, std::string>> { { "GET http://h/" + rest, "400" }, { "GET *" + rest, "400" },
            { "CONNECT /" + rest, "501" }, { "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", "400" },
            { "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", "400" }, { "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", "400" },
            { "GET / HTTP/2.0\r\nHost: h\r\n\r\n", "505" }, { "GET /" + std::string(8000, 'a') + rest, "414" },
            { "GET / HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n", "417" } }) {
        const auto text = sendAndReadToEnd(bytes);
        EXPECT_EQ(text.substr(9, 3), status) << bytes;
        EXPECT_EQ(findHeader(text, "Acaciaslip-Verdict"), "not_run") << bytes;
    }
    EXPECT_EQ(arrivals(), 0U);
}

TEST_F(node_caller_server_test, Caller_ClosesWhileWaiting_IsReportedAsDisconnected)
{
    m_holdAnswers = true;
    {
        auto caller = connect();
        caller.send(lookup);
        ASSERT_TRUE(waitUntil([&] { return arrivals() == 1; }));
    }
    EXPECT_TRUE(waitUntil([&] {
        const std::lock_guard lock(m_mutex);
        return m_disconnected.size() == 1 && m_disconnected[0] == m_arrived[0].id;
    }));
    answer(arrival(0));
}

TEST_F(node_caller_server_test, Caller_ResetsWhileWaiting_IsReportedAsDisconnected)
{
    m_holdAnswers = true;
    auto caller = connect();
    caller.send(lookup);
    ASSERT_TRUE(waitUntil([&] { return arrivals() == 1; }));
    caller.reset();
    EXPECT_TRUE(waitUntil([&] {
        const std::lock_guard lock(m_mutex);
        return m_disconnected.size() == 1;
    }));
}

TEST_F(node_caller_server_test, Caller_HalfClosesWhileWaiting_ReceivesAnswer)
{
    m_holdAnswers = true;
    auto caller = connect();
    caller.send(lookup);
    caller.shutdownSending();
    ASSERT_TRUE(waitUntil([&] { return arrivals() == 1; }));
    std::this_thread::sleep_for(100ms);
    answer(arrival(0));
    EXPECT_NE(caller.readToEnd().find("answer to GET /routes ;"), std::string::npos);
    const std::lock_guard lock(m_mutex);
    EXPECT_TRUE(m_disconnected.empty());
}

TEST_F(node_caller_server_test, Request_Truncated_IsRefusedAsNotRun)
{
    auto caller = connect();
    caller.send("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
    caller.shutdownSending();
    const auto text = caller.readToEnd();
    EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(findHeader(text, "Acaciaslip-Verdict"), "not_run");
    EXPECT_EQ(arrivals(), 0U);
}

TEST_F(node_caller_server_test, Answer_WithCloseConnection_ClosesAfterCompleteAnswer)
{
    m_closeConnection = true;
    const auto text = sendAndReadToEnd(lookup);
    EXPECT_EQ(findHeader(text, "Connection"), "close");
    EXPECT_NE(text.find("answer to GET /routes ;"), std::string::npos);
}

TEST_F(node_caller_server_test, Stop_WithInFlightPartialAndNewRequests_AllAreAnswered)
{
    m_holdAnswers = true;
    auto waiting = connect();
    waiting.send(lookup);
    ASSERT_TRUE(waitUntil([&] { return arrivals() == 1; }));
    auto half = connect();
    half.send("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
    auto idle = connect();
    ASSERT_TRUE(waitUntil([&] { return openConnections() == 3; }));
    std::thread stopping([&] { stopServer(); });
    auto fresh = connect();
    fresh.send(lookup);
    ASSERT_TRUE(waitUntil([&] { return arrivals() == 2; }));
    answer(arrival(1));
    answer(arrival(0));
    const auto refused = half.readToEnd();
    EXPECT_EQ(refused.substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(findHeader(refused, "Acaciaslip-Verdict"), "not_run");
    EXPECT_NE(waiting.readToEnd().find("answer to GET /routes ;"), std::string::npos);
    EXPECT_NE(fresh.readToEnd().find("answer to GET /routes ;"), std::string::npos);
    EXPECT_EQ(idle.readToEnd(), "");
    stopping.join();
    EXPECT_EQ(openConnections(), 0U);
}

/// Guards against a graceful shutdown that drops requests which servers are executing.
TEST_F(node_caller_server_test, Stop_WithPipelinedRequests_AllAreAnsweredAndLastAnnouncesClose)
{
    m_holdAnswers = true;
    auto caller = connect();
    caller.send(std::string(lookup) + lookup);
    ASSERT_TRUE(waitUntil([&] { return arrivals() == 2; }));
    m_closeConnection = true;
    answer(arrival(0));
    std::thread stopping([&] { stopServer(); });
    answer(arrival(1));
    const auto text = caller.readToEnd();
    stopping.join();
    const auto first = text.find("answer to GET /routes ;");
    ASSERT_NE(first, std::string::npos) << text;
    EXPECT_NE(text.find("answer to GET /routes ;", first + 1), std::string::npos) << text;
    EXPECT_GT(text.find("Connection: close"), first) << text;
}

/// Bytes that form no valid request: each connection is answered or closed, and the server goes on serving.
TEST_F(node_caller_server_test, RandomBytes_ManyConnections_ServerKeepsServing)
{
    std::mt19937 random(5);
    const std::string pool { 'G', 'E', 'T', ' ', '/', 'H', 'P', '1', '.', '\r', '\n', ':', '%', '0', '\0', 'a',
        '\xff' };
    for (int round = 0; round < 200; ++round) {
        std::string bytes;
        for (auto size = random() % 300; size > 0; --size)
            bytes += pool[random() % pool.size()];
        auto caller = connect();
        caller.send(bytes + "\r\n\r\n");
        caller.shutdownSending();
        const auto text = caller.readToEnd();
        ASSERT_EQ(text.find("[nothing came]"), std::string::npos) << bytes;
    }
    EXPECT_NE(sendAndReadToEnd("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").find("answer to GET"),
        std::string::npos);
}

} // namespace
} // namespace acaciaslip::transport::loop
