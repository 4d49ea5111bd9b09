#include "coordination/gateway/service_load_fixture.hpp"

namespace acaciaslip::coordination::gateway {
namespace {

/// A service of requests of 1.1 s, to which a route with requests of 48 ms and the same priority is added.
class objective_service_time_test : public service_load_fixture {
protected:
    objective_service_time_test()
    {
        m_route.objective = 2500ms;
        m_route.timeout = 6s;
    }

    void addShortRoute()
    {
        auto added = m_route;
        added.name = "status";
        added.pathPrefix = "/b/";
        added.objective = 200ms;
        added.timeout = 800ms;
        m_furtherRoutes = { added };
        publishConfiguration();
        publish();
    }

    std::vector<stream_result> serveBoth()
    {
        return serveStreams({ { 100, 200ms, 12s, 1100ms }, { 100, 200ms, 1500ms, 48ms, "/b/x" } });
    }

    [[nodiscard]] const service_activity& activity() const { return m_node.services.at("a"); }

    [[nodiscard]] double learnedMs(state::duration objective) const
    {
        return state::toMilliseconds(*activity().serviceTimes.at(objective).typical);
    }
};

/// Guards against a route that is never served because its service has longer requests on another route (review/15: 0
/// of 150 requests).
TEST_F(objective_service_time_test, Route_AddedToServiceWithLongerRequests_IsServed)
{
    publishServers(6);
    ASSERT_EQ(serve({ 30, 200ms, 12s, 1100ms }).served, 30U);
    addShortRoute();
    const auto results = serveBoth();
    EXPECT_EQ(results[0].served, 100U);
    EXPECT_EQ(results[1].served, 100U);
}

TEST_F(objective_service_time_test, Routes_TwoObjectives_EachLearnsItsOwnServiceTime)
{
    publishServers(6);
    addShortRoute();
    serveBoth();
    EXPECT_NEAR(learnedMs(2500ms), 1100, 30);
    EXPECT_NEAR(learnedMs(200ms), 48, 5);
}

/// Guards against a service time that a route loses when another route is added.
TEST_F(objective_service_time_test, Route_OtherAdded_KeepsItsServiceTime)
{
    publishServers(6);
    serve({ 30, 200ms, 12s, 1100ms });
    const auto before = learnedMs(2500ms);
    addShortRoute();
    EXPECT_EQ(learnedMs(2500ms), before);
}

/// Guards against unbounded memory.
TEST_F(objective_service_time_test, Route_Removed_ItsServiceTimeIsForgotten)
{
    publishServers(6);
    addShortRoute();
    serveBoth();
    ASSERT_EQ(activity().serviceTimes.size(), 2U);
    m_furtherRoutes.clear();
    publishConfiguration();
    publish();
    EXPECT_EQ(activity().serviceTimes.size(), 1U);
    EXPECT_FALSE(activity().hasObjectives);
}

/// A route that changes its objective keeps what is known of its service.
TEST_F(objective_service_time_test, Route_ObjectiveChanged_ServiceTimeIsKept)
{
    publishServers(6);
    serve({ 30, 200ms, 12s, 1100ms });
    m_route.objective = 300ms;
    publishConfiguration();
    publish();
    EXPECT_EQ(serve({ 1, 200ms, 2s, 1100ms }).served, 1U);
    EXPECT_GT(learnedMs(300ms), 1000);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
