#include "coordination/gateway/gateway_fixture.hpp"
#include "coordination/gateway/server_back_off.hpp"
#include "coordination/gateway/serving_fleet.hpp"

#include <ostream>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

using state::gateway::header_statement;

constexpr state::duration warningTime = 500ms; ///< between a server's refusal and its effect on the host
constexpr std::size_t mostAllowed = 2; ///< requests and probes of one host at one server in its back-off time
constexpr state::duration objective = 600ms; ///< of the fleet's route
constexpr state::duration refusalTime = 100ms; ///< in which a caller that cannot be served must be refused

/// A fleet some of whose servers refuse requests and ask each host that sends them one for a time without requests.
class refusing_fleet : public serving_fleet {
public:
    refusing_fleet(std::size_t hostCount, std::size_t serverCount, double requestsPerSecond)
        : serving_fleet { hostCount, serverCount, requestsPerSecond }
    {
        serve = [this](const std::string& ip, const send_request& sent) { return react(ip, sent); };
        probed = [this](const std::string& ip, const probe_server& probe) { count(ip, probe.server); };
        ended = [this](const caller_outcome& outcome) { checkRefusal(outcome); };
    }

    /// From now on, these servers refuse all requests and name a time, until they stop.
    void refuse(std::size_t servers, state::duration time)
    {
        m_refusing = servers;
        m_time = time;
    }

    std::size_t mostReceived = 0; ///< by one server from one host in one back-off time
    std::size_t refusedWithoutServer = 0; ///< callers refused while all servers wanted nothing from the host
    std::size_t refusedLate = 0; ///< of these, after `refusalTime`
    std::size_t toldEarly = 0; ///< of these, told to return before a server is free
    std::set<state::duration> told; ///< times that these were told

private:
    struct back_off {
        state::time_point knownAt; ///< to the host
        state::time_point from;
        state::time_point until;
        std::size_t received = 0;
    };

    server_reaction react(const std::string& ip, const send_request& sent)
    {
        count(ip, sent.server);
        if (std::stoul(sent.server.substr(1)) >= m_refusing)
            return { makeAnswer(), workTime };
        attempt_finished refused;
        refused.outcome = state::attempt_outcome::shed;
        refused.status = 503;
        refused.backOff = { header_statement::named, m_time };
        m_backOffs[{ ip, sent.server }].push_back(
            { hosts.now + roundTrip, hosts.now + warningTime, hosts.now + m_time, 0 });
        return { refused, roundTrip };
    }

    void count(const std::string& ip, const std::string& server)
    {
        for (auto& asked : m_backOffs[{ ip, server }]) {
            if (hosts.now >= asked.from && hosts.now < asked.until)
                mostReceived = std::max(mostReceived, ++asked.received);
        }
    }

    /// When the first server takes requests of a host, as far as the host knew at a time; empty: one of them may do so.
    std::optional<state::time_point> findEarliest(const std::string& host, state::time_point at)
    {
        auto earliest = state::time_point::max();
        for (std::size_t server = 0; server < serverCount(); ++server) {
            auto until = at;
            for (const auto& asked : m_backOffs[{ host, "s" + std::to_string(server) }])
                until = asked.knownAt < at ? std::max(until, asked.until) : until;
            earliest = std::min(earliest, until);
        }
        return earliest > at ? std::optional(earliest) : std::nullopt;
    }

    /// Checks a refusal if no server took requests of the host at that time.
    void checkRefusal(const caller_outcome& outcome)
    {
        const auto earliest = findEarliest(outcome.host, hosts.now);
        if (outcome.answered || !earliest)
            return;
        ++refusedWithoutServer;
        toldEarly += outcome.refusal.retryAfter < *earliest - hosts.now - roundTrip ? 1 : 0;
        told.insert(outcome.refusal.retryAfter);
        // A request may wait for a server that is free in time for it.
        const auto arrivedAt = hosts.now - outcome.took;
        const auto earliestThen = findEarliest(outcome.host, arrivedAt);
        if (earliestThen && *earliestThen > arrivedAt + objective)
            refusedLate += outcome.took > refusalTime ? 1 : 0;
    }

    std::size_t m_refusing = 0;
    state::duration m_time {};
    std::map<std::pair<std::string, std::string>, std::vector<back_off>> m_backOffs; ///< by host and server
};

struct back_off_case {
    std::size_t hosts;
    std::size_t servers;
    std::size_t refusing;
    state::duration time;

    friend std::ostream& operator<<(std::ostream& output, const back_off_case& shown)
    {
        return output << shown.hosts << "_hosts_" << shown.refusing << "_of_" << shown.servers << "_servers_"
                      << state::toMilliseconds(shown.time) << "_ms";
    }
};

class server_back_off_fleet_test : public testing::TestWithParam<back_off_case> {
protected:
    server_back_off_fleet_test()
    {
        m_fleet.run(10s);
        m_fleet.outcomes.clear();
        m_fleet.refuse(GetParam().refusing, GetParam().time);
        m_fleet.run(12s);
    }

    refusing_fleet m_fleet { GetParam().hosts, GetParam().servers, 8.0 * static_cast<double>(GetParam().hosts) };
};

class server_back_off_all_refuse_test : public server_back_off_fleet_test { };

/// Guards against hosts that ignore the Retry-After of a server (tmirs-gw, BUDGET: a server that had asked a host for a
/// pause of N s received N requests from it in that time).
TEST_P(server_back_off_fleet_test, Server_RefusesAndNamesTime_ReceivesAtMostTwoRequestsFromThatHost)
{
    EXPECT_LE(m_fleet.mostReceived, mostAllowed);
}

TEST_P(server_back_off_fleet_test, Servers_SomeRefuse_EveryCallerIsServed)
{
    if (GetParam().refusing == GetParam().servers)
        return;
    for (const auto& outcome : m_fleet.outcomes)
        EXPECT_TRUE(outcome.answered);
}

/// Guards against callers that come back before any server takes their request.
TEST_P(server_back_off_all_refuse_test, Servers_AllRefuse_CallersAreRefusedAtOnceUntilAServerIsFree)
{
    EXPECT_GT(m_fleet.refusedWithoutServer, 0U);
    EXPECT_EQ(m_fleet.refusedLate, 0U);
    EXPECT_EQ(m_fleet.toldEarly, 0U);
    EXPECT_GE(m_fleet.told.size(), m_fleet.refusedWithoutServer / 2) << "their return is not spread";
    EXPECT_LE(*m_fleet.told.rbegin(), 2 * GetParam().time);
    for (const auto& outcome : m_fleet.outcomes)
        EXPECT_TRUE(outcome.answered || outcome.refusal.outcome == state::verdict::not_run);
}

INSTANTIATE_TEST_SUITE_P(Fleets, server_back_off_fleet_test,
    testing::Values(back_off_case { 3, 3, 1, 5s }, back_off_case { 3, 3, 1, 4500ms }, back_off_case { 3, 3, 3, 5s },
        back_off_case { 15, 9, 4, 3s }, back_off_case { 99, 30, 10, 5s }));
INSTANTIATE_TEST_SUITE_P(Fleets, server_back_off_all_refuse_test,
    testing::Values(back_off_case { 3, 1, 1, 5s }, back_off_case { 3, 2, 2, 4500ms }, back_off_case { 15, 3, 3, 5s },
        back_off_case { 15, 9, 9, 3s }, back_off_case { 99, 6, 6, 5s }));
// Not under sanitizers.
INSTANTIATE_TEST_SUITE_P(
    fleet_size_test, server_back_off_fleet_test, testing::Values(back_off_case { 312, 60, 20, 5s }));
INSTANTIATE_TEST_SUITE_P(
    fleet_size_test, server_back_off_all_refuse_test, testing::Values(back_off_case { 312, 6, 6, 5s }));

} // namespace
} // namespace acaciaslip::coordination::gateway
