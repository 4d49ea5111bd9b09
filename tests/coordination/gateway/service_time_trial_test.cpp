#include "coordination/gateway/service_load_fixture.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {
namespace {

constexpr state::duration longDeadline = 12s;
constexpr state::duration longWork = 3s;
constexpr state::duration shortDeadline = 700ms;
constexpr state::duration shortWork = 5ms;

/// A service whose learned service time is above the deadline of its callers.
class service_time_trial_test : public service_load_fixture {
protected:
    service_time_trial_test() { m_route.timeout = 12s; }

    void learnLongServiceTime()
    {
        publishServers(4);
        serve({ 24, 500ms, longDeadline, longWork });
        ASSERT_GT(*m_node.services.at("a").typicalServiceTime, shortDeadline);
        advanceTime(20s); // in which the slowdown that the servers showed is forgotten
    }

    /// Requests of callers with a short deadline, over 16 s.
    stream_result serveShort(state::duration took = shortWork) { return serve({ 160, 100ms, shortDeadline, took }); }
};

/// Guards against a service that recovers and is still refused, because refused requests do not update its service time
/// (0 of 160 served in 16 s).
TEST_F(service_time_trial_test, Servers_FastAgain_RequestsAreServed)
{
    learnLongServiceTime();
    EXPECT_GE(serveShort().served, 152U);
}

TEST_F(service_time_trial_test, Servers_FastAgain_BookingsAreServed)
{
    m_route.kind = request_kind::non_idempotent;
    learnLongServiceTime();
    EXPECT_GE(serveShort().served, 152U);
}

TEST_F(service_time_trial_test, RequestsOfOneClass_FastAgain_AreServed)
{
    auto urgent = m_route;
    urgent.name = "urgent";
    urgent.pathPrefix = "/b/";
    urgent.priority = 1;
    m_furtherRoutes = { urgent };
    learnLongServiceTime();
    ASSERT_EQ(m_node.services.at("a").classes.size(), 1U);
    EXPECT_GE(serveShort().served, 152U);
}

TEST_F(service_time_trial_test, Servers_FastAgainUnderLoad_RequestsAreServed)
{
    learnLongServiceTime();
    EXPECT_GE(serve({ 400, 10ms, shortDeadline, 200ms }).served, 300U);
}

/// Guards against callers that wait until their deadline for a service that stays slow.
TEST_F(service_time_trial_test, Servers_StaySlow_FewRequestsAreSentAndOthersRefusedAtOnce)
{
    learnLongServiceTime();
    const auto result = serveShort(longWork);
    EXPECT_EQ(result.served, 0U);
    EXPECT_GE(result.sent, 1U);
    EXPECT_LE(result.sent, 8U);
    EXPECT_EQ(result.refused, 160U);
    EXPECT_LE(result.refusedAfterWaiting, result.sent);
}

/// Guards against pauses between trials that grow without bound.
TEST_F(service_time_trial_test, Servers_FastAfterManyFailedTrials_RequestsAreServedWithinFiveSeconds)
{
    learnLongServiceTime();
    serve({ 600, 100ms, shortDeadline, longWork });
    serve({ 50, 100ms, shortDeadline, shortWork });
    EXPECT_EQ(serve({ 100, 100ms, shortDeadline, shortWork }).served, 100U);
}

TEST_F(service_time_trial_test, Servers_FailedManyRequests_RequestsAreServedAgain)
{
    publishServers(4);
    m_outcome = state::attempt_outcome::cut;
    serve({ 60, 100ms, 2s, shortWork });
    m_outcome = state::attempt_outcome::answered;
    EXPECT_GE(serve({ 40, 100ms, 2s, shortWork }).served, 38U);
}

TEST_F(service_time_trial_test, ManyRequests_AtOnce_OneIsSent)
{
    learnLongServiceTime();
    const auto result = serve({ 50, 0ms, shortDeadline, longWork });
    EXPECT_EQ(result.sent, 1U);
    EXPECT_EQ(result.refused, 50U);
}

/// Trials must not add load to servers that are full.
TEST_F(service_time_trial_test, Servers_Full_NothingIsSent)
{
    learnLongServiceTime();
    startRequest("/a/x", shortDeadline);
    std::map<std::string, state::gateway::load_report> full;
    for (std::size_t server = 0; server < 4; ++server)
        full["s" + std::to_string(server)] = fullReport(4);
    answerProbes(full);
    advanceTime(100ms);
    EXPECT_TRUE(takeEffects<send_request>().empty());
    EXPECT_EQ(takeEffect<refuse_caller>().reason, state::refusal_reason::overloaded);
}

TEST_F(service_time_trial_test, Servers_ReportThatTheyAreSlow_NothingIsSent)
{
    publishServers(4);
    std::map<std::string, state::gateway::load_report> slow;
    for (std::size_t server = 0; server < 4; ++server)
        slow["s" + std::to_string(server)] = idleReport(5);
    startRequest("/a/x", shortDeadline); // above the assumed service time, below five times of it
    for (state::duration waited {}; waited < shortDeadline; waited += 10ms) {
        answerProbes(slow);
        advanceTime(10ms);
    }
    EXPECT_TRUE(takeEffects<send_request>().empty());
    EXPECT_EQ(takeEffect<refuse_caller>().reason, state::refusal_reason::overloaded);
}

/// Guards against an abandoned trial that counts as in flight for ever and blocks all later ones.
TEST_F(service_time_trial_test, Caller_LeavesDuringTrial_NextTrialFollows)
{
    learnLongServiceTime();
    const auto request = startRequest("/a/x", shortDeadline);
    answerProbes();
    ASSERT_EQ(takeEffects<send_request>().size(), 1U);
    advanceTime(20ms);
    handleEvent(caller_disconnected { request });
    m_effects.clear();
    advanceTime(1s);
    EXPECT_EQ(serve({ 20, 100ms, shortDeadline, shortWork }).refused, 0U);
}

/// Guards against a trial that counts as in flight for ever because its class changes before it ends.
TEST_F(service_time_trial_test, Service_GainsAndLosesPrioritiesDuringTrial_NextTrialFollows)
{
    learnLongServiceTime();
    startRequest("/a/x", shortDeadline);
    answerProbes();
    const auto trial = takeEffect<send_request>();
    auto urgent = m_route;
    urgent.name = "urgent";
    urgent.pathPrefix = "/b/";
    urgent.priority = 1;
    m_furtherRoutes = { urgent };
    publishConfiguration();
    publish();
    const auto next = startRequest("/a/x", longDeadline); // adds the class
    finishAttempt(trial.id, state::attempt_outcome::answered, 200);
    handleEvent(caller_disconnected { next });
    m_furtherRoutes.clear();
    publishConfiguration();
    publish();
    m_effects.clear();
    EXPECT_GE(serveShort().served, 152U);
}

TEST_F(service_time_trial_test, Trial_Served_IsCountedAndLogged)
{
    learnLongServiceTime();
    const auto before = m_node.counters.serviceTimeTrials[trial_outcome::served];
    startRequest("/a/x", shortDeadline);
    answerProbes();
    const auto lines = takeEffects<log_event>();
    EXPECT_TRUE(std::any_of(
        lines.begin(), lines.end(), [](const log_event& line) { return line.name == "service_time_trial"; }));
    finishAttempt(takeEffect<send_request>().id, state::attempt_outcome::answered, 200);
    EXPECT_EQ(m_node.counters.serviceTimeTrials.at(trial_outcome::served), before + 1);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
