#include "coordination/gateway/gateway_fixture.hpp"

#include <set>

namespace acaciaslip::coordination::gateway {
namespace {

class gateway_probing_test : public gateway_fixture { };

TEST_F(gateway_probing_test, Request_Arrives_ProbesThreeServersBeforeSending)
{
    publishServers(9);
    startRequest();
    EXPECT_EQ(takeEffects<probe_server>().size(), 3U);
    EXPECT_TRUE(takeEffects<send_request>().empty());
}

TEST_F(gateway_probing_test, Servers_OneIsIdle_IdleServerReceivesRequest)
{
    publishServers(3);
    startRequest();
    answerProbes({ { "s0", fullReport() }, { "s2", idleReport(5) } });
    EXPECT_EQ(takeEffect<send_request>().server, "s1");
}

TEST_F(gateway_probing_test, IdempotentRequest_FirstProbeReportsIdle_SentWithoutWaitingForOtherProbes)
{
    publishServers(3);
    startRequest();
    const auto probes = takeEffects<probe_server>();
    answerProbe(probes.front(), idleReport());
    EXPECT_EQ(takeEffect<send_request>().server, probes.front().server);
}

TEST_F(gateway_probing_test, NonIdempotentRequest_FirstProbeReportsIdle_WaitsForOtherProbes)
{
    m_route.kind = request_kind::non_idempotent;
    publishServers(3);
    startRequest();
    const auto probes = takeEffects<probe_server>();
    answerProbe(probes.front(), idleReport());
    EXPECT_TRUE(takeEffects<send_request>().empty());
    advanceTime(10ms);
    EXPECT_EQ(takeEffects<send_request>().size(), 1U);
}

TEST_F(gateway_probing_test, FirstServers_AllSlow_MoreServersAreProbed)
{
    publishServers(9);
    startRequest();
    for (const auto& probe : takeEffects<probe_server>())
        answerProbe(probe, idleReport(5));
    const auto further = takeEffects<probe_server>();
    EXPECT_EQ(further.size(), 4U);
    answerProbe(further.front(), idleReport());
    EXPECT_EQ(takeEffect<send_request>().server, further.front().server);
}

TEST_F(gateway_probing_test, Servers_AllFull_ProbedAgainInTimeForTheObjective)
{
    publishServers(3);
    startRequest();
    answerProbes({ { "s0", fullReport(8) }, { "s1", fullReport(8) }, { "s2", fullReport(8) } });
    EXPECT_TRUE(takeEffects<send_request>().empty());
    advanceTime(60ms);
    answerProbes();
    EXPECT_EQ(takeEffects<send_request>().size(), 1U);
}

TEST_F(gateway_probing_test, Servers_FullUntilTimeout_RequestIsRefusedAsNotRunWithRetryAfter)
{
    publishServers(2);
    startRequest();
    for (int round = 0; round < 40 && takeEffects<refuse_caller>().empty(); ++round) {
        answerProbes({ { "s0", fullReport(40) }, { "s1", fullReport(40) } });
        const auto refusals = takeEffects<refuse_caller>();
        if (!refusals.empty()) {
            EXPECT_EQ(refusals.front().outcome, state::verdict::not_run);
            EXPECT_EQ(refusals.front().reason, state::refusal_reason::overloaded);
            EXPECT_GT(refusals.front().retryAfter, 0ms);
            EXPECT_LT(m_now, state::time_point { 1h } + m_route.objective);
            return;
        }
        advanceTime(30ms);
    }
    FAIL() << "the request was not refused before its timeout";
}

TEST_F(gateway_probing_test, Service_HasNoServers_RequestIsRefusedImmediately)
{
    publishServers(0);
    startRequest();
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.reason, state::refusal_reason::no_server);
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
}

TEST_F(gateway_probing_test, Servers_AnswerNoProbe_RequestIsRefusedWithinHalfASecond)
{
    publishServers(3);
    startRequest();
    advanceTime(500ms);
    const auto refusal = takeEffect<refuse_caller>();
    EXPECT_EQ(refusal.outcome, state::verdict::not_run);
}

TEST_F(gateway_probing_test, Server_ProbeAnsweredByOtherServer_ReceivesNoRequest)
{
    publishServers(2);
    startRequest();
    const auto probes = takeEffects<probe_server>();
    failProbe(probes[0], probe_outcome::other_server);
    answerProbe(probes[1], idleReport());
    EXPECT_EQ(takeEffect<send_request>().server, probes[1].server);
}

TEST_F(gateway_probing_test, Server_ReportsUnhealthy_ReceivesNoRequest)
{
    publishServers(1);
    startRequest();
    failProbe(takeEffects<probe_server>().front(), probe_outcome::unhealthy);
    advanceTime(500ms);
    EXPECT_TRUE(takeEffects<send_request>().empty());
}

TEST_F(gateway_probing_test, OwnDataCentre_HasGoodServers_OnlyTheseAreProbedFirst)
{
    publishServers(3);
    for (std::size_t index = 3; index < 9; ++index)
        m_published.servers["s" + std::to_string(index)] = { nextRevision(), makeEntry(index, "dc-b") };
    publish();
    startRequest();
    std::set<std::string> probed;
    for (const auto& probe : takeEffects<probe_server>())
        probed.insert(probe.server);
    EXPECT_EQ(probed, (std::set<std::string> { "s0", "s1", "s2" }));
}

TEST_F(gateway_probing_test, Caller_DisconnectsDuringProbes_NothingIsSent)
{
    publishServers(3);
    const auto id = startRequest();
    handleEvent(caller_disconnected { id });
    answerProbes();
    EXPECT_TRUE(takeEffects<send_request>().empty());
}

TEST_F(gateway_probing_test, ConnectionLimit_ManyHosts_IsSharedAmongThem)
{
    publishServers(3);
    m_node.share.hosts = 9;
    startRequest();
    EXPECT_EQ(takeEffects<probe_server>().front().connectionLimit, 10U)
        << "90 of 100 connections are shared by 9 hosts; a tenth is kept in reserve";
    m_node.share.hosts = 1000;
    startRequest();
    EXPECT_EQ(takeEffects<probe_server>().front().connectionLimit, 2U)
        << "at least 2, so that a probe is possible while a request is in flight";
}

TEST_F(gateway_probing_test, Server_AllConnectionsInUse_OthersAreProbedAndNoFailureIsCounted)
{
    publishServers(4);
    startRequest();
    for (const auto& probe : takeEffects<probe_server>())
        failProbe(probe, probe_outcome::no_connection);
    const auto further = takeEffects<probe_server>();
    ASSERT_EQ(further.size(), 1U);
    answerProbe(further.front(), idleReport());
    EXPECT_EQ(takeEffect<send_request>().server, further.front().server);
    for (const auto& [id, server] : m_node.servers)
        EXPECT_EQ(server.consecutiveFailures, 0U) << id;
}

/// A request must neither exceed the limit of the only server nor be refused although this host's turn is near.
TEST_F(gateway_probing_test, Server_OnlyOneNamesLimit_RequestsWaitForTurnOrAreRefusedAsOverloaded)
{
    advanceTime(12s);
    publishServers(1);
    const auto answer = [this](const send_request& sent) {
        attempt_finished finished;
        finished.id = sent.id;
        finished.outcome = state::attempt_outcome::answered;
        finished.status = 200;
        finished.limit = { state::gateway::header_statement::named, 5 };
        handleEvent(finished);
    };
    answer(startAndSend());
    m_effects.clear();
    std::size_t sent = 0;
    std::size_t refused = 0;
    for (int request = 0; request < 100; ++request) {
        startRequest();
        advanceTime(20ms);
        answerProbes();
        for (const auto& send : takeEffects<send_request>()) {
            answer(send);
            ++sent;
        }
        for (const auto& refusal : takeEffects<refuse_caller>()) {
            EXPECT_EQ(refusal.reason, state::refusal_reason::overloaded);
            ++refused;
        }
    }
    EXPECT_LE(sent, 11U);
    EXPECT_GE(sent, 8U);
    EXPECT_GE(refused, 40U);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
