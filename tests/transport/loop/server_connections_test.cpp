#include "transport/loop/server_connections.hpp"

#include "transport/loop/loop_fixture.hpp"

#include <fmt/format.h>

namespace acaciaslip::transport::loop {
namespace {

namespace gateway = coordination::gateway;

class server_connections_test : public loop_fixture {
protected:
    server_connections_test()
    {
        m_request.method = "GET";
        m_request.target = "/a";
        m_request.headers = { { "Host", "x" }, { "Acaciaslip-Request", "r1" } };
    }
    ~server_connections_test() override { m_connections.close(); }

    void answer(const std::string& bytes)
    {
        m_server.onReceived = [bytes](test_connection& end) {
            end.received.clear();
            end.stream->write(bytes);
        };
    }

    gateway::probe_finished probe(std::uint64_t id)
    {
        m_probeResult.reset();
        m_connections.probe(
            { state::gateway::probe_id { id }, "s1", m_server.address(), "/health", 200ms, m_connectionLimit });
        EXPECT_TRUE(runUntil([this] { return m_probeResult.has_value(); }));
        return m_probeResult.value_or(gateway::probe_finished {});
    }

    gateway::attempt_finished send(std::uint64_t id)
    {
        m_finished.reset();
        m_connections.send({ state::attempt_id { id }, {}, "s1", m_server.address(), 1s });
        EXPECT_TRUE(runUntil([this] { return m_finished.has_value(); }));
        return m_finished.value_or(gateway::attempt_finished {});
    }

    static constexpr const char* healthy = "HTTP/1.1 200 OK\r\nAcaciaslip-Server: s1\r\nContent-Length: 0\r\n\r\n";

    std::uint32_t m_connectionLimit = 10; ///< limit on connections to the server
    protocol::server_http_format m_format;
    protocol::http::message m_request;
    loop_test_server m_server { &m_loop };
    std::optional<gateway::probe_finished> m_probeResult;
    std::optional<gateway::attempt_finished> m_finished;
    server_connections m_connections { &m_loop, m_format,
        [this](gateway::event happened) {
            if (const auto* probed = std::get_if<gateway::probe_finished>(&happened))
                m_probeResult = *probed;
            else if (const auto* finished = std::get_if<gateway::attempt_finished>(&happened))
                m_finished = *finished;
        },
        [this](state::request_id) { return &m_request; } };
};

TEST_F(server_connections_test, ProbeThenRequest_UseTheSameConnection)
{
    answer(healthy);
    EXPECT_EQ(probe(1).outcome, gateway::probe_outcome::healthy);
    answer("HTTP/1.1 200 OK\r\nAcaciaslip-Request: r1\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_EQ(send(1).outcome, state::attempt_outcome::answered);
    EXPECT_EQ(m_connections.takeAnswer(state::attempt_id { 1 }).body, "hi");
    EXPECT_EQ(m_connections.connectionsOpened(), 1U);
}

TEST_F(server_connections_test, IdleConnection_ClosedByServer_ProbeIsSentAgain)
{
    answer(healthy);
    probe(1);
    // The server closes the connection when it receives the next probe.
    int bytes = 0;
    m_server.onReceived = [&bytes](test_connection& end) {
        if (++bytes == 1)
            end.stream->close();
        else
            end.stream->write(healthy);
    };
    EXPECT_EQ(probe(2).outcome, gateway::probe_outcome::healthy);
    EXPECT_EQ(m_connections.connectionsOpened(), 2U);
}

TEST_F(server_connections_test, Probe_ConnectionLimitReached_IsNotSent)
{
    m_connectionLimit = 2;
    for (std::uint64_t id = 1; id <= 2; ++id)
        m_connections.send({ state::attempt_id { id }, {}, "s1", m_server.address(), 1s });
    EXPECT_EQ(probe(1).outcome, gateway::probe_outcome::no_connection);
    EXPECT_EQ(m_connections.connectionsOpened(), 2U);
    m_connections.cancel(state::attempt_id { 1 });
    answer(healthy);
    EXPECT_EQ(probe(2).outcome, gateway::probe_outcome::healthy) << "a connection is available again";
}

TEST_F(server_connections_test, Probes_Sequential_ReuseOneConnection)
{
    m_connectionLimit = 1;
    answer(healthy);
    for (std::uint64_t id = 1; id <= 5; ++id)
        EXPECT_EQ(probe(id).outcome, gateway::probe_outcome::healthy);
    EXPECT_EQ(m_connections.connectionsOpened(), 1U);
}

TEST_F(server_connections_test, Probe_ServerDoesNotAnswer_TimesOut)
{
    EXPECT_EQ(probe(1).outcome, gateway::probe_outcome::no_answer);
}

TEST_F(server_connections_test, Answer_WithAnotherRequestId_IsRejected)
{
    answer("HTTP/1.1 200 OK\r\nAcaciaslip-Request: other\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno");
    EXPECT_EQ(send(1).outcome, state::attempt_outcome::cut);
}

TEST_F(server_connections_test, Answer_WithNotRunHeaderAndRequestId_CountsAsShed)
{
    answer("HTTP/1.1 503 Busy\r\nAcaciaslip-Request: r1\r\nAcaciaslip-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(send(1).outcome, state::attempt_outcome::shed);
}

/// Guards against a refusal that a faulty server writes once more, for the next request on the connection, which runs:
/// its caller was told that it has not run. Without a request id, nothing shows which request a refusal belongs to.
TEST_F(server_connections_test, Refusal_WithoutRequestIdBeforeAnswer_IsNotTakenForTheAnswer)
{
    for (const auto* refusal : { "HTTP/1.1 503 Busy\r\nAcaciaslip-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n" }) {
        answer(std::string(refusal) + "HTTP/1.1 200 OK\r\nAcaciaslip-Request: r1\r\nContent-Length: 2\r\n\r\nhi");
        EXPECT_EQ(send(1).outcome, state::attempt_outcome::answered) << refusal;
        EXPECT_EQ(m_connections.takeAnswer(state::attempt_id { 1 }).body, "hi");
    }
}

/// Guards against a copy of a refusal that is taken for the answer to a later attempt of the same request, whose id it
/// carries.
TEST_F(server_connections_test, Request_RefusedOnAConnection_IsNotSentOnItAgain)
{
    answer("HTTP/1.1 503 Busy\r\nAcaciaslip-Request: r1\r\nAcaciaslip-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(send(1).outcome, state::attempt_outcome::shed);
    answer("HTTP/1.1 200 OK\r\nAcaciaslip-Request: r1\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_EQ(send(2).outcome, state::attempt_outcome::answered);
    EXPECT_EQ(m_connections.connectionsOpened(), 2U);
    m_request.headers = { { "Acaciaslip-Request", "r2" } };
    answer("HTTP/1.1 200 OK\r\nAcaciaslip-Request: r2\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_EQ(send(3).outcome, state::attempt_outcome::answered);
    EXPECT_EQ(send(4).outcome, state::attempt_outcome::answered);
    EXPECT_EQ(m_connections.connectionsOpened(), 2U) << "both connections serve other requests";
}

/// Guards against an answer that breaks off, in its head or its body, and reaches the caller as a complete one.
TEST_F(server_connections_test, Answer_BreaksOffAfterAnyByte_AttemptIsCut)
{
    const std::string head = "HTTP/1.1 200 OK\r\nAcaciaslip-Request: r1\r\n";
    for (const std::string& whole : { head + "Content-Length: 2\r\n\r\nhi", head + "Content-Length: 0\r\n\r\n",
             head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" }) {
        for (std::size_t size = 1; size < whole.size(); ++size) {
            m_server.onReceived = [&](test_connection& end) {
                end.stream->write(whole.substr(0, size));
                end.stream->shutdownAndClose();
            };
            EXPECT_EQ(send(1).outcome, state::attempt_outcome::cut) << whole.substr(0, size);
        }
    }
    for (std::size_t size = 1; size < head.size() + 2; ++size) { // the body ends with the connection
        m_server.onReceived = [&](test_connection& end) {
            end.stream->write((head + "\r\n").substr(0, size));
            end.stream->shutdownAndClose();
        };
        EXPECT_EQ(send(1).outcome, state::attempt_outcome::cut) << head.substr(0, size);
    }
}

/// Guards against an answer of a server in trouble that is passed on to a caller or taken for a status check.
TEST_F(server_connections_test, Answer_StatusOrFieldNameMalformed_IsNoAnswer)
{
    const std::vector<std::pair<const char*, const char*>> cases { { "000", "" }, { "600", "" }, { "101", "" },
        { "200", "A b: c\r\n" }, { "200", "A\x01: c\r\n" }, { "200", "Content-Length : 2\r\n" } };
    for (const auto& [status, field] : cases) {
        const auto whole
            = fmt::format("HTTP/1.1 {} OK\r\nAcaciaslip-Request: r1\r\n{}Content-Length: 2\r\n\r\nhi", status, field);
        answer(whole);
        EXPECT_EQ(send(1).outcome, state::attempt_outcome::cut) << whole;
        EXPECT_EQ(probe(1).outcome, gateway::probe_outcome::no_answer) << whole;
    }
}

TEST_F(server_connections_test, Attempt_Cancelled_ConnectionIsClosed)
{
    m_connections.send({ state::attempt_id { 1 }, {}, "s1", m_server.address(), 1s });
    ASSERT_TRUE(
        runUntil([this] { return !m_server.connections.empty() && !m_server.connections[0]->received.empty(); }));
    m_connections.cancel(state::attempt_id { 1 });
    EXPECT_TRUE(runUntil([this] { return m_server.connections[0]->closed; }));
    EXPECT_FALSE(m_finished);
}

TEST_F(server_connections_test, Answer_BeforeBodyWasRead_ConnectionIsNotReused)
{
    m_request.method = "POST";
    m_request.body.assign(8U << 20U, 'x');
    m_server.onReceived = [](test_connection& end) {
        end.stream->stopReading();
        end.stream->write("HTTP/1.1 413 No\r\nAcaciaslip-Request: r1\r\nContent-Length: 0\r\n\r\n");
    };
    EXPECT_EQ(send(1).status, 413);
    m_request.body.clear();
    answer(healthy);
    probe(2);
    EXPECT_EQ(m_connections.connectionsOpened(), 2U);
}

} // namespace
} // namespace acaciaslip::transport::loop
