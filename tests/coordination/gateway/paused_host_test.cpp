#include "coordination/gateway/gateway_fixture.hpp"
#include "coordination/gateway/server_health.hpp"

namespace acaciaslip::coordination::gateway {
namespace {

using state::attempt_outcome;

/// A host whose process is suspended while a server executes a request.
class paused_host_test : public gateway_fixture {
protected:
    paused_host_test()
    {
        publishServers(1);
        for (int request = 0; request < 20; ++request)
            answer(10ms);
    }

    /// Runs a request, during which the host is paused.
    void answer(state::duration pause)
    {
        const auto sent = startAndSend();
        m_now += pause;
        finishAttempt(sent.id, attempt_outcome::answered, 200);
    }

    [[nodiscard]] state::duration learned() const { return *m_node.services.at("a").typicalServiceTime; }
};

/// Guards against a host that refuses all requests of a service after it was suspended, because it counts the
/// suspension as service time (soak seed 48020: a response handled 13 s after the send).
TEST_F(paused_host_test, Answer_HandledAfterDeadline_TeachesNoServiceTime)
{
    const auto before = learned();
    answer(13s);
    EXPECT_EQ(learned(), before);
}

TEST_F(paused_host_test, Answer_HandledAfterDeadline_ServerDoesNotCountAsSlow)
{
    answer(13s);
    EXPECT_LT(currentSlowdown(m_node.servers.at("s0"), m_now), 1.5);
}

TEST_F(paused_host_test, Answer_HandledAfterDeadline_NextRequestIsSent)
{
    answer(13s);
    takeEffects<send_request>();
    startRequest("/a/x", 300ms);
    answerProbes();
    EXPECT_EQ(takeEffects<send_request>().size(), 1U);
}

/// A slow response within the deadline is a valid measurement.
TEST_F(paused_host_test, Answer_HandledWithinDeadline_TeachesServiceTime)
{
    const auto before = learned();
    answer(1s);
    EXPECT_GT(learned(), before);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
