#include "protocol/node_http_messages.hpp"
#include "transport/loop/attempt_connections.hpp"
#include "transport/loop/caller_server.hpp"
#include "transport/loop/endless_answers.hpp"
#include "transport/loop/loop_fixture.hpp"
#include "transport/loop/server_connections.hpp"

#include <algorithm>
#include <csignal>
#include <set>

namespace acaciaslip::transport::loop {
namespace {

namespace gateway = coordination::gateway;

constexpr std::uint64_t megabyte = 1048576;
constexpr std::uint64_t smallestHost = 160 * megabyte;
constexpr std::uint64_t processReserve = 48 * megabyte;
constexpr std::uint64_t copiesPerMessage = 3;

class endless_bytes_test : public loop_fixture {
protected:
    endless_bytes_test()
    {
        (void)std::signal(SIGPIPE, SIG_IGN); // as the program does: connections are closed while bytes are written
        m_request.method = "GET";
        m_request.target = "/a";
        m_request.headers = { { "Host", "x" }, { "Acaciaslip-Request", "r1" } };
        m_connections.useBudget(m_budget);
    }
    ~endless_bytes_test() override { m_connections.close(); }

    /// Sends requests and waits until each has ended.
    void sendRequests(std::uint64_t count)
    {
        m_finished.clear();
        for (std::uint64_t id = 1; id <= count; ++id)
            m_connections.send({ state::attempt_id { id }, {}, "s1", m_server.address(), 10s });
        EXPECT_TRUE(runUntil([&] { return m_finished.size() == count; }, 20s));
    }

    bool serverConnectionsClose()
    {
        return runUntil([this] { return m_server.isEveryConnectionClosed(); });
    }

    protocol::server_http_format m_format;
    protocol::http::message m_request;
    std::shared_ptr<coordination::memory_budget> m_budget
        = std::make_shared<coordination::memory_budget>(coordination::makeMemoryBudget(smallestHost));
    endless_server m_server { &m_loop };
    std::vector<gateway::attempt_finished> m_finished;
    std::optional<gateway::probe_finished> m_probed;
    server_connections m_connections { &m_loop, m_format,
        [this](gateway::event happened) {
            if (const auto* probed = std::get_if<gateway::probe_finished>(&happened))
                m_probed = *probed;
            else if (const auto* finished = std::get_if<gateway::attempt_finished>(&happened))
                m_finished.push_back(*finished);
        },
        [this](state::request_id) { return &m_request; } };
};

TEST_F(endless_bytes_test, Answers_WithoutEnd_FailWithinMemoryOfSmallestHost)
{
    constexpr std::uint64_t requests = 50;
    for (const auto& answer : endlessAnswers()) {
        SCOPED_TRACE(answer.what);
        m_server.serve(answer);
        sendRequests(requests);
        for (const auto& finished : m_finished)
            EXPECT_EQ(finished.outcome, state::attempt_outcome::cut) << answer.what;
        EXPECT_TRUE(serverConnectionsClose()) << answer.what;
        EXPECT_EQ(m_budget->heldBytes, 0U) << answer.what;
        EXPECT_LE(m_budget->peakBytes * copiesPerMessage + processReserve, smallestHost) << answer.what;
    }
}

TEST_F(endless_bytes_test, ProbeAnswers_WithoutEnd_CountAsNoAnswerAndHoldLittleMemory)
{
    constexpr std::uint64_t maxHeld = 262144; // head and body of one small answer, with one read beyond each
    for (const auto& answer : endlessAnswers()) {
        m_server.serve(answer);
        m_probed.reset();
        m_connections.probe({ state::gateway::probe_id { 1 }, "s1", m_server.address(), "/health", 2s, 10 });
        ASSERT_TRUE(runUntil([this] { return m_probed.has_value(); })) << answer.what;
        EXPECT_EQ(m_probed->outcome, gateway::probe_outcome::no_answer) << answer.what;
        EXPECT_TRUE(serverConnectionsClose()) << answer.what;
        EXPECT_LE(m_budget->peakBytes, maxHeld) << answer.what;
    }
}

TEST_F(endless_bytes_test, BytesWithoutEnd_AfterCompleteAnswer_AnswerIsPassedOnAndConnectionClosed)
{
    m_server.serve({ "after the answer", answerStart + "Content-Length: 2\r\n\r\nhi", "x" });
    sendRequests(1);
    EXPECT_EQ(m_finished.at(0).outcome, state::attempt_outcome::answered);
    EXPECT_EQ(m_connections.takeAnswer(state::attempt_id { 1 }).body, "hi");
    EXPECT_TRUE(serverConnectionsClose());
}

/// Connections of `serve` to a server that sends endless answers.
class attempt_endless_bytes_test : public loop_fixture {
protected:
    attempt_endless_bytes_test()
    {
        (void)std::signal(SIGPIPE, SIG_IGN);
        m_connections.useBudget(m_budget);
    }

    void sendAttempts(std::uint64_t count)
    {
        m_finished.clear();
        protocol::http::message request;
        request.method = "GET";
        request.target = "/a";
        request.headers = { { "Host", "x" } };
        const auto body = std::make_shared<protocol::http_payload>(std::move(request));
        const auto deadline = bootNow() + 10s;
        for (std::uint64_t id = 1; id <= count; ++id)
            m_connections.send({ state::attempt_id { id }, "s1", m_server.address(), deadline, deadline, 1000, body });
        EXPECT_TRUE(runUntil([&] { return m_finished.size() == count; }, 20s));
    }

    std::shared_ptr<coordination::memory_budget> m_budget
        = std::make_shared<coordination::memory_budget>(coordination::makeMemoryBudget(smallestHost));
    endless_server m_server { &m_loop };
    std::vector<coordination::attempt_finished> m_finished;
    attempt_connections m_connections { &m_loop, "n1", {}, [this](coordination::event happened) {
                                           m_finished.push_back(std::get<coordination::attempt_finished>(happened));
                                       } };
};

/// Guards against a server in trouble that takes all memory of the node that calls it.
TEST_F(attempt_endless_bytes_test, Answers_WithoutEnd_FailWithinMemoryOfSmallestHost)
{
    constexpr std::uint64_t attempts = 50;
    for (const auto& answer : endlessAnswers()) {
        m_server.serve(answer);
        sendAttempts(attempts);
        for (const auto& finished : m_finished)
            EXPECT_EQ(finished.outcome, state::attempt_outcome::mismatched) << answer.what;
        EXPECT_TRUE(runUntil([this] { return m_server.isEveryConnectionClosed(); })) << answer.what;
        EXPECT_EQ(m_budget->heldBytes, 0U) << answer.what;
        EXPECT_LE(m_budget->peakBytes * copiesPerMessage + processReserve, smallestHost) << answer.what;
    }
    EXPECT_GT(m_budget->rejections, 0U);
}

/// A server must end its answer with the bytes that its framing requires, even if it closes the connection properly.
TEST_F(endless_bytes_test, Answer_BreaksOff_FailsInEveryFraming)
{
    for (const std::string& partial :
        { answerStart, answerStart + "Content-Length: 5\r\n\r\nhi", answerStart + "Transfer-Encoding: chunked\r\n\r\n",
            answerStart + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi",
            answerStart + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
            answerStart + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n",
            answerStart + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n" }) {
        m_server.answerAndClose(partial);
        sendRequests(1);
        EXPECT_EQ(m_finished.at(0).outcome, state::attempt_outcome::cut) << partial;
    }
}

/// Callers that upload, and callers that do not read their answers.
class caller_memory_test : public loop_fixture {
protected:
    caller_memory_test()
    {
        m_server.useBudget(m_budget);
        EXPECT_TRUE(m_server.listen("127.0.0.1:0").ok());
    }
    ~caller_memory_test() override { m_server.close(); }

    std::shared_ptr<test_connection> send(const std::string& bytes)
    {
        auto caller = connect("127.0.0.1:" + std::to_string(m_server.port()));
        caller->stream->write(bytes);
        return caller;
    }

    bool receives(const std::shared_ptr<test_connection>& caller, const std::string& text)
    {
        return runUntil([&] { return caller->received.find(text) != std::string::npos; });
    }

    static std::string upload(std::uint64_t bytes)
    {
        return "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes) + "\r\n";
    }

    protocol::server_http_format m_format;
    std::shared_ptr<coordination::memory_budget> m_budget
        = std::make_shared<coordination::memory_budget>(coordination::makeMemoryBudget(smallestHost));
    std::vector<gateway::request_arrived> m_arrived;
    caller_server m_server { &m_loop, m_format, [this](gateway::event event) {
                                if (const auto* arrived = std::get_if<gateway::request_arrived>(&event))
                                    m_arrived.push_back(*arrived);
                            } };
};

TEST_F(caller_memory_test, Upload_TooLargeForMemory_IsRefusedAsNotRunBeforeItsBody)
{
    const auto caller = send(upload(60 * megabyte) + "Expect: 100-continue\r\n\r\n");
    EXPECT_TRUE(receives(caller, "HTTP/1.1 503 "));
    EXPECT_TRUE(receives(caller, "Retry-After: "));
    EXPECT_EQ(caller->received.find(" 100 "), std::string::npos);
    EXPECT_TRUE(m_arrived.empty());
}

TEST_F(caller_memory_test, Uploads_ManyAtOnce_StayWithinMemoryAndSmallRequestsArrive)
{
    constexpr std::size_t uploads = 100;
    std::vector<std::shared_ptr<test_connection>> callers;
    callers.reserve(uploads);
    for (std::size_t caller = 0; caller < uploads; ++caller)
        callers.push_back(send(upload(4 * megabyte) + "\r\n" + std::string(100000, 'x')));
    ASSERT_TRUE(runUntil([&] {
        return std::count_if(callers.begin(), callers.end(), [](const auto& caller) {
            return caller->received.starts_with("HTTP/1.1 503 ");
        }) > 90;
    }));
    EXPECT_GT(m_budget->heldBytes, 4 * megabyte) << "some uploads are accepted";
    EXPECT_LE(m_budget->peakBytes * copiesPerMessage + processReserve, smallestHost);
    send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(runUntil([this] { return m_arrived.size() == 1; }));
}

TEST_F(caller_memory_test, Upload_ChunkedWithoutEnd_IsRefusedAndReleased)
{
    const auto chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
    const auto caller = send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    timer pump(&m_loop, [&] {
        if (caller->stream->pendingBytes() < megabyte)
            caller->stream->write(chunk);
        pump.start(1ms);
    });
    pump.start(1ms);
    EXPECT_TRUE(receives(caller, "HTTP/1.1 503 "));
    pump.stop();
    caller->stream->close();
    EXPECT_TRUE(runUntil([this] { return m_budget->heldBytes == 0; }));
    EXPECT_TRUE(m_arrived.empty());
}

TEST_F(caller_memory_test, Answer_NotRead_HoldsItsMemoryUntilCallerIsGone)
{
    constexpr std::uint64_t answerBytes = 8 * megabyte;
    const auto caller = send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([this] { return m_arrived.size() == 1; }));
    caller->stream->stopReading();
    {
        protocol::http::message answer;
        answer.status = 200;
        answer.body.assign(answerBytes, 'x');
        answer.memory = std::make_shared<coordination::memory_reservation>(m_budget);
        ASSERT_TRUE(answer.memory->resize(answerBytes));
        m_server.answer({ m_arrived[0].id, {}, false }, answer);
    }
    runFor(100ms);
    EXPECT_GE(m_budget->heldBytes, answerBytes);
    caller->stream->close();
    EXPECT_TRUE(runUntil([this] { return m_budget->heldBytes == 0; }));
}

} // namespace
} // namespace acaciaslip::transport::loop
