#include "coordination/gateway/configuration_merge.hpp"

#include "coordination/gateway/fleet_merge.hpp"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace acaciaslip::coordination::gateway {
namespace {

using state::gateway::configuration;
using state::gateway::published_configuration;
using state::gateway::published_fleet;

class configuration_merge_test : public testing::Test {
protected:
    static state::gateway::route makeRoute(const std::string& path, std::uint32_t attempts = 1)
    {
        state::gateway::route made;
        made.name = "r" + path;
        made.host = "a.example";
        made.pathPrefix = path;
        made.attempts = attempts;
        made.split = { { "a", 1 } };
        return made;
    }

    /// Publishes a configuration with these routes and merges it as read from the store.
    void publish(std::vector<state::gateway::route> routes)
    {
        configuration next;
        next.version = ++m_version;
        next.routes = std::move(routes);
        next.services = m_services;
        state::gateway::fleet_delta delta { false, m_source.asOf, {} };
        delta.changes.asOf = m_source.asOf + 1;
        delta.changes.config = { m_source.asOf + 1, next };
        ASSERT_TRUE(mergeDelta(m_source, delta).applied);
    }

    std::uint32_t m_version = 0;
    std::vector<state::gateway::service> m_services { { "a", "/health", 10, {}, 0 } };
    published_fleet m_source;
};

TEST_F(configuration_merge_test, Changes_OfOneRoute_ContainOnlyThatRoute)
{
    publish({ makeRoute("/a/"), makeRoute("/b/"), makeRoute("/c/") });
    const auto before = m_source;
    publish({ makeRoute("/a/"), makeRoute("/b/", 2), makeRoute("/c/") });
    const auto delta = makeDelta(m_source, before.asOf);
    ASSERT_TRUE(delta.configChanges);
    EXPECT_EQ(delta.configChanges->routes, std::vector { makeRoute("/b/", 2) });
    EXPECT_TRUE(delta.configChanges->removedRoutes.empty());
    EXPECT_FALSE(delta.configChanges->services);
    EXPECT_FALSE(delta.changes.config.value);
}

TEST_F(configuration_merge_test, Changes_AddedRemovedAndServices_LeadToTheSameConfiguration)
{
    publish({ makeRoute("/a/"), makeRoute("/b/") });
    auto receiver = m_source;
    m_services.push_back({ "b", "/health", 5, {}, 0 });
    publish({ makeRoute("/b/"), makeRoute("/0/") });
    EXPECT_TRUE(mergeDelta(receiver, makeDelta(m_source, receiver.asOf)).changed);
    EXPECT_EQ(receiver.config.value, m_source.config.value);
}

TEST_F(configuration_merge_test, Changes_ReceiverWithoutConfiguration_AreNotApplied)
{
    publish({ makeRoute("/a/") });
    publish({ makeRoute("/a/"), makeRoute("/b/") });
    const auto delta = makeDelta(m_source, 1);
    ASSERT_TRUE(delta.configChanges);
    published_fleet receiver;
    receiver.asOf = 1;
    EXPECT_FALSE(mergeDelta(receiver, delta).applied);
    EXPECT_EQ(receiver.asOf, 1U);
}

TEST_F(configuration_merge_test, Changes_OlderThanKnown_ChangeNothing)
{
    publish({ makeRoute("/a/") });
    const auto first = m_source.asOf;
    publish({ makeRoute("/a/"), makeRoute("/b/") });
    const auto delta = makeDelta(m_source, first);
    publish({ makeRoute("/a/") });
    const auto known = m_source;
    mergeDelta(m_source, delta);
    EXPECT_EQ(m_source, known);
}

TEST_F(configuration_merge_test, Changes_ReceiverLagsBehindHistory_WholeConfigurationIsSent)
{
    m_source.asOf = 10;
    publish({ makeRoute("/a/") });
    const auto delta = makeDelta(m_source, 5);
    EXPECT_FALSE(delta.configChanges);
    EXPECT_EQ(delta.changes.config.value, m_source.config.value);
}

/// A host that has missed a change and its reversal believes that the route never changed.
TEST_F(configuration_merge_test, Changes_SenderMissedAChangeThatWasUndone_AreNotApplied)
{
    publish({ makeRoute("/a/") });
    auto skipping = m_source;
    publish({ makeRoute("/a/", 3) });
    auto receiver = m_source;
    publish({ makeRoute("/a/"), makeRoute("/b/") });
    state::gateway::fleet_delta whole { false, skipping.asOf, {} };
    whole.changes.asOf = m_source.asOf;
    whole.changes.config = m_source.config;
    ASSERT_TRUE(mergeDelta(skipping, whole).applied);
    EXPECT_FALSE(mergeDelta(receiver, makeDelta(skipping, receiver.asOf)).applied);
    EXPECT_EQ(receiver.config.value->version, 2U);
    EXPECT_TRUE(mergeDelta(receiver, makeDelta(skipping, 0)).applied) << "the whole fleet repairs it";
    EXPECT_EQ(receiver.config.value, m_source.config.value);
}

/// Routes come, change and go at random; a receiver that catches up now and then must hold the same configuration.
TEST_F(configuration_merge_test, Changes_OfRandomConfigurations_LeadToTheSameConfiguration)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        pcg32 random { seed };
        m_source = {};
        m_version = 0;
        published_fleet receiver;
        std::map<std::string, state::gateway::route> routes;
        for (int step = 0; step < 60; ++step) {
            for (int change = 0; change < 3; ++change) {
                const auto path = "/" + std::to_string(random(20)) + "/";
                if (random(3) == 0)
                    routes.erase(path);
                else
                    routes[path] = makeRoute(path, 1 + random(3));
            }
            std::vector<state::gateway::route> published;
            published.reserve(routes.size());
            for (const auto& [path, route] : routes)
                published.push_back(route);
            publish(published);
            if (random(3) != 0)
                continue;
            ASSERT_TRUE(mergeDelta(receiver, makeDelta(m_source, receiver.asOf)).applied) << seed << ' ' << step;
            ASSERT_EQ(receiver.config.value, m_source.config.value) << seed << ' ' << step;
        }
    }
}

} // namespace
} // namespace acaciaslip::coordination::gateway
