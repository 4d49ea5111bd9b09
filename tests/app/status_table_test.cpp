#include "app/status_table.hpp"

#include "app/dump_table.hpp"
#include "coordination/node.hpp"
#include "protocol/dump.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace acaciaslip::app {
namespace {

using testing::HasSubstr;

/// Nodes whose dumps are made by the product's own writer.
class status_table_test : public testing::Test {
protected:
    static coordination::node makeNode(const std::string& id, state::revision hosts)
    {
        state::node_settings settings;
        settings.id = id;
        settings.dataCentre = "dc-a";
        auto node = coordination::makeNode(settings, 1, {});
        node.phase = coordination::node_phase::serving;
        node.values["acaciaslip/hosts"].inForce.number = hosts;
        node.fleet.services.emplace_back().settings.name = { "kierdicht", "bookings" };
        auto& server = node.fleet.servers.emplace_back();
        server.id = "b1";
        server.listing = state::host_listing::live;
        server.dataCentre = "dc-b";
        server.conditionReason = "restarted";
        return node;
    }

    void answer(const coordination::node& node)
    {
        m_answers.push_back({ "10.0.0.1:9090", protocol::describeNode(node, state::time_point {}) });
    }

    std::vector<node_answer> m_answers;
};

TEST_F(status_table_test, Nodes_WithOneRevision_Agree)
{
    answer(makeNode("entry-a1", 7));
    answer(makeNode("entry-a2", 7));
    EXPECT_TRUE(doNodesAgree(m_answers));
    EXPECT_THAT(writeStatus(m_answers), HasSubstr("2 of 2 nodes answered; they have the same settings in force"));
}

TEST_F(status_table_test, Nodes_WithTwoRevisions_AreNamed)
{
    answer(makeNode("entry-a1", 7));
    answer(makeNode("entry-a2", 6));
    EXPECT_FALSE(doNodesAgree(m_answers));
    EXPECT_THAT(writeStatus(m_answers),
        HasSubstr("the nodes differ in acaciaslip/hosts: revision 6 at entry-a2; 7 at entry-a1"));
    EXPECT_FALSE(describeStatus(m_answers)["agree"].get<bool>());
}

TEST_F(status_table_test, Node_WithoutAnswer_StandsFirst)
{
    answer(makeNode("entry-a1", 7));
    m_answers.push_back({ "10.0.0.2:9090", absl::UnavailableError("10.0.0.2:9090 did not answer") });
    EXPECT_THAT(writeStatus(m_answers), HasSubstr("ATTENTION\n  NO ANSWER: 10.0.0.2:9090 did not answer"));
}

TEST_F(status_table_test, Server_ColdOrInADataCentreOut_IsListed)
{
    auto node = makeNode("entry-a1", 7);
    answer(node);
    EXPECT_THAT(writeStatus(m_answers), HasSubstr("cold by 1 of 1  restarted"));
    node.fleet.servers[0].dataCentreOut = true;
    m_answers.clear();
    answer(node);
    EXPECT_THAT(writeStatus(m_answers), HasSubstr("data centres out: dc-b"));
}

TEST_F(status_table_test, Value_Refused_SaysWhyInDumpAndStatus)
{
    auto node = makeNode("entry-a1", 7);
    auto& record = node.values["acaciaslip/hosts"];
    record.refused.emplace().number = 8;
    record.refusedBecause = "acaciaslip/hosts:1:1: broken";
    answer(node);
    const std::string said = "refuses revision 8 of acaciaslip/hosts and keeps 7:\n      acaciaslip/hosts:1:1: broken";
    EXPECT_THAT(writeStatus(m_answers), HasSubstr(said));
    EXPECT_THAT(writeDump(*m_answers[0].dump), HasSubstr(said));
}

TEST_F(status_table_test, Dump_OfAnotherVersion_IsWrittenAsFarAsItGoes)
{
    m_answers.push_back({ "10.0.0.1:9090",
        nlohmann::json::parse(R"({"id":7,"phase":"serving","servers":[1],"values":{"k":3},"peers":{"p":null}})") });
    EXPECT_THAT(writeStatus(m_answers), HasSubstr("1 of 1 nodes answered"));
    EXPECT_THAT(writeDump(*m_answers[0].dump), HasSubstr("serving"));
}

} // namespace
} // namespace acaciaslip::app
