#include "transport/loop/gateway_daemon_fixture.hpp"

#include <string>
#include <tuple>

namespace acaciaslip::transport::loop {
namespace {

using state::gateway::request_kind;

/// A caller, a daemon, and a server that answers each request with one status and some headers.
class unproven_refusal_daemon_fixture : public gateway_daemon_fixture {
protected:
    /// Lets the server answer a request of a caller.
    /// \return what the caller receives
    std::string exchange(request_kind kind, int status, const std::string& headers)
    {
        m_kind = kind;
        publish();
        m_server.onReceived = [status, headers](test_connection& end) {
            if (end.received.find("\r\n\r\n") == std::string::npos)
                return;
            const bool isProbe = end.received.starts_with("GET /health");
            end.received.clear();
            end.stream->write(isProbe ? "HTTP/1.1 200 OK\r\nAcaciaslip-Server: s1\r\nContent-Length: 0\r\n\r\n"
                                      : "HTTP/1.1 " + std::to_string(status) + " X\r\nAcaciaslip-Request: r1\r\n"
                        + headers + "Content-Length: 0\r\n\r\n");
        };
        const auto caller
            = connectAndSend(m_daemon.callersPort(), "POST /a HTTP/1.1\r\nHost: x\r\nAcaciaslip-Request: r1\r\n\r\n");
        runUntil([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
        return caller->received;
    }

    static std::string statusLineOf(int status) { return "HTTP/1.1 " + std::to_string(status) + " "; }
};

class unproven_refusal_status_test : public unproven_refusal_daemon_fixture,
                                     public testing::WithParamInterface<std::tuple<request_kind, int>> { };

/// Guards against a request that is executed twice: a server executes it and then answers 503, and the caller takes the
/// forwarded status as a guarantee that it was not executed.
TEST_P(unproven_refusal_status_test, Answer_WithoutNotRunHeader_CallerReceivesBadGateway)
{
    const auto [kind, status] = GetParam();
    const auto received = exchange(kind, status, "Retry-After: 0\r\nAcaciaslip-Signature: 0123456789abcdef\r\n");
    EXPECT_TRUE(received.starts_with(statusLineOf(502))) << received;
    EXPECT_EQ(received.find("Acaciaslip-Signature"), std::string::npos) << "no server's answer";
    EXPECT_EQ(received.find("Retry-After"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Statuses, unproven_refusal_status_test,
    testing::Combine(
        testing::Values(request_kind::idempotent, request_kind::non_idempotent), testing::Values(408, 429, 503)));

class proven_refusal_test : public unproven_refusal_daemon_fixture { };

TEST_F(proven_refusal_test, Answer_WithNotRunHeader_CallerReceives503)
{
    const auto received = exchange(request_kind::non_idempotent, 503, "Acaciaslip-Not-Run: 1\r\n");
    EXPECT_TRUE(received.starts_with(statusLineOf(503))) << received;
}

/// Servers answer 421 before they execute a request, so no header is needed.
TEST_F(proven_refusal_test, Answer_Misdirected_CallerReceives503)
{
    const auto received = exchange(request_kind::non_idempotent, 421, "");
    EXPECT_TRUE(received.starts_with(statusLineOf(503))) << received;
}

class forwarded_status_test : public unproven_refusal_daemon_fixture, public testing::WithParamInterface<int> { };

TEST_P(forwarded_status_test, Answer_PromisesNothing_CallerReceivesItUnchanged)
{
    const auto received = exchange(request_kind::non_idempotent, GetParam(), "X-Kept: 1\r\n");
    EXPECT_TRUE(received.starts_with(statusLineOf(GetParam()))) << received;
    EXPECT_NE(received.find("X-Kept: 1"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Statuses, forwarded_status_test, testing::Values(409, 500, 502, 504));

} // namespace
} // namespace acaciaslip::transport::loop
