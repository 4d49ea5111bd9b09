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

    std::vector<stream_result> serveBothRoutes()
    {
        return serveStreams({ { 100, 200ms, 12s, 1100ms }, { 100, 200ms, 1500ms, 48ms, "/b/x" } });
    }

    [[nodiscard]] const service_activity& activity() const { return m_node.services.at("a"); }

    [[nodiscard]] double learnedServiceTimeMs(state::duration objective) const
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
    const auto results = serveBothRoutes();
    EXPECT_EQ(results[0].served, 100U);
    EXPECT_EQ(results[1].served, 100U);
}

TEST_F(objective_service_time_test, Routes_TwoObjectives_EachLearnsItsOwnServiceTime)
{
    publishServers(6);
    addShortRoute();
    serveBothRoutes();
    EXPECT_NEAR(learnedServiceTimeMs(2500ms), 1100, 30);
    EXPECT_NEAR(learnedServiceTimeMs(200ms), 48, 5);
}

/// Adding a route must not reset the service time of an existing one.
TEST_F(objective_service_time_test, Route_OtherAdded_KeepsItsServiceTime)
{
    publishServers(6);
    serve({ 30, 200ms, 12s, 1100ms });
    const auto before = learnedServiceTimeMs(2500ms);
    addShortRoute();
    EXPECT_EQ(learnedServiceTimeMs(2500ms), before);
}

/// Guards against unbounded memory.
TEST_F(objective_service_time_test, Route_Removed_ItsServiceTimeIsForgotten)
{
    publishServers(6);
    addShortRoute();
    serveBothRoutes();
    ASSERT_EQ(activity().serviceTimes.size(), 2U);
    m_furtherRoutes.clear();
    publishConfiguration();
    publish();
    EXPECT_EQ(activity().serviceTimes.size(), 1U);
    EXPECT_FALSE(activity().hasSeveralObjectives);
}

/// The service time of the service is the best estimate for an objective without responses.
TEST_F(objective_service_time_test, Route_ObjectiveChanged_ServiceTimeIsKept)
{
    publishServers(6);
    serve({ 30, 200ms, 12s, 1100ms });
    m_route.objective = 300ms;
    publishConfiguration();
    publish();
    EXPECT_EQ(serve({ 1, 200ms, 2s, 1100ms }).served, 1U);
    EXPECT_GT(learnedServiceTimeMs(300ms), 1000);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
