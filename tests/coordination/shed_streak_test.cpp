#include "coordination/cold_start.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node_fixture.hpp"

namespace acaciaslip::coordination {
namespace {

class shed_streak_test : public node_fixture {
protected:
    shed_streak_test()
    {
        m_service.slots = 4;
        publishServers(4);
    }

    state::server_record& server() { return m_node.fleet.servers.front(); }

    void shed(int times)
    {
        for (int count = 0; count < times; ++count)
            recordShedResponse(m_node, server(), m_now, m_effects);
    }
};

TEST_F(shed_streak_test, Server_WithFreeSlots_IsColdAfterThreeShedResponses)
{
    shed(2);
    EXPECT_EQ(server().condition, state::server_condition::warm);
    shed(1);
    EXPECT_EQ(server().condition, state::server_condition::cold);
}

TEST_F(shed_streak_test, Server_SlotsInUse_IsColdAfterSixteenShedResponses)
{
    updatePeerLoad(server().load, "entry-2", 3, m_now);
    shed(15);
    EXPECT_EQ(server().condition, state::server_condition::warm);
    shed(1);
    EXPECT_EQ(server().condition, state::server_condition::cold);
}

} // namespace
} // namespace acaciaslip::coordination
