#include "coordination/simulated_nodes.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One node with six warm servers in three data centres. Tests deliver events to the node and record its effects.
class data_centres_test : public testing::Test {
protected:
    data_centres_test()
    {
        m_group.onEffect = [this](std::size_t, const effect& wanted) {
            if (const auto* send = std::get_if<send_attempt>(&wanted))
                m_sends.push_back(*send);
            else if (const auto* refusal = std::get_if<refuse_caller>(&wanted))
                m_refusals.push_back(*refusal);
            else if (std::holds_alternative<answer_caller>(wanted))
                ++m_responses;
        };
        m_published.services = { simulated_nodes::service("maps") };
        for (std::size_t index = 0; index < 6; ++index)
            m_published.hosts.push_back(simulated_nodes::serverHost(index, "maps", index % 3));
        m_published.hosts.push_back(simulated_nodes::entryHost(0));
        m_group.add(m_published);
        m_group.run(milliseconds { 500 });
        for (auto& server : m_group.at(0).self.fleet.servers)
            server.condition = state::server_condition::warm;
    }

    void evacuate(const std::vector<state::data_centre_id>& out)
    {
        m_published.evacuatedDataCentres = out;
        m_group.publish(m_published);
    }

    void receiveRequests(int count)
    {
        for (int number = 0; number < count; ++number) {
            request_arrived arrived;
            arrived.id = state::request_id { ++m_lastRequest };
            arrived.path = "/maps";
            arrived.idempotentMethod = true;
            m_group.handleEvent(0, arrived);
        }
    }

    void respondToAll()
    {
        for (const auto& send : std::exchange(m_sends, {}))
            m_group.handleEvent(0, attempt_finished { send.id, state::attempt_outcome::answered, 200, nullptr });
    }

    int countSendsTo(const state::data_centre_id& dataCentre)
    {
        return static_cast<int>(std::count_if(m_sends.begin(), m_sends.end(),
            [&](const auto& send) { return m_group.server(0, send.server).dataCentre == dataCentre; }));
    }

    state::fleet_settings m_published;
    simulated_nodes m_group;
    std::vector<send_attempt> m_sends;
    std::vector<refuse_caller> m_refusals;
    int m_responses = 0;
    std::uint64_t m_lastRequest = 0;
};

TEST_F(data_centres_test, DataCentre_Evacuated_GetsNoNewRequestsAndFinishesRunningOnes)
{
    receiveRequests(12);
    const auto running = countSendsTo("dc-0");
    EXPECT_GT(running, 0);
    evacuate({ "dc-0" });
    respondToAll();
    EXPECT_EQ(m_responses, 12);
    receiveRequests(12);
    EXPECT_EQ(countSendsTo("dc-0"), 0);
}

TEST_F(data_centres_test, DataCentre_Restored_StartsCold)
{
    evacuate({ "dc-0" });
    m_group.run(seconds { 1 });
    evacuate({});
    EXPECT_EQ(m_group.server(0, "maps-0").condition, state::server_condition::cold);
    EXPECT_EQ(m_group.server(0, "maps-0").limit, 1U);
    receiveRequests(30);
    EXPECT_LE(countSendsTo("dc-0"), 2) << "one at a time on each of its two servers";
}

TEST_F(data_centres_test, DataCentre_EvacuatedAgainWhileCold_StartsColdAgain)
{
    evacuate({ "dc-0" });
    evacuate({});
    m_group.server(0, "maps-0").limit = 4;
    const auto epoch = m_group.server(0, "maps-0").epoch;
    evacuate({ "dc-0" });
    receiveRequests(6);
    EXPECT_EQ(countSendsTo("dc-0"), 0);
    evacuate({});
    EXPECT_EQ(m_group.server(0, "maps-0").limit, 1U);
    EXPECT_GT(m_group.server(0, "maps-0").epoch, epoch);
}

TEST_F(data_centres_test, DataCentres_TwoEvacuated_ThirdGetsAllRequests)
{
    evacuate({ "dc-0", "dc-2" });
    receiveRequests(6);
    EXPECT_EQ(countSendsTo("dc-1"), 6);
}

TEST_F(data_centres_test, DataCentres_AllEvacuated_RequestsAreRefusedAsNotRun)
{
    evacuate({ "dc-0", "dc-1", "dc-2" });
    receiveRequests(3);
    m_group.run(seconds { 3 });
    EXPECT_TRUE(m_sends.empty());
    ASSERT_EQ(m_refusals.size(), 3U);
    for (const auto& refusal : m_refusals) {
        EXPECT_EQ(refusal.outcome, state::verdict::not_run);
        EXPECT_GT(refusal.retryAfter, state::duration::zero());
    }
}

TEST_F(data_centres_test, Server_Leaving_GetsNoNewRequests)
{
    m_published.hosts[1].listing = state::host_listing::leaving;
    m_group.publish(m_published);
    receiveRequests(20);
    EXPECT_TRUE(std::none_of(m_sends.begin(), m_sends.end(), [](const auto& send) { return send.server == "maps-1"; }));
}

} // namespace
} // namespace acaciaslip::coordination
