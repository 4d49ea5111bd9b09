#include "coordination/gateway/route_lookup.hpp"
#include "coordination/gateway/traffic_split.hpp"

#include <map>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

using state::gateway::configuration;
using state::gateway::route;

route makeRoute(std::string name, std::string host, std::string prefix)
{
    route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    made.split = { { "a", 1 } };
    return made;
}

class route_lookup_test : public testing::Test {
protected:
    std::string find(std::string_view host, std::string_view path)
    {
        const auto* found = findRoute(m_config, host, path);
        return found == nullptr ? "" : found->name;
    }

    configuration m_config { 1, {},
        { makeRoute("short", "x.example", "/a/"), makeRoute("long", "x.example", "/a/b/"),
            makeRoute("other", "y.example", "/a/") },
        {} };
};

TEST_F(route_lookup_test, Route_SeveralPrefixesMatch_LongestIsUsed)
{
    EXPECT_EQ(find("x.example", "/a/b/c"), "long");
    EXPECT_EQ(find("x.example", "/a/bc"), "short");
}

TEST_F(route_lookup_test, Route_HostInOtherCase_Matches)
{
    EXPECT_EQ(find("Y.Example", "/a/"), "other");
}

TEST_F(route_lookup_test, Route_PathEndsBeforePrefix_DoesNotMatch)
{
    EXPECT_EQ(find("x.example", "/a"), "");
}

class traffic_split_test : public testing::Test {
protected:
    traffic_split_test() { m_route.split = { { "a", 90 }, { "b", 10 } }; }

    route m_route;
};

TEST_F(traffic_split_test, Split_ManyRequests_SharesFollowWeights)
{
    split_balance balance;
    std::map<std::string, int> counts;
    for (int request = 0; request < 1000; ++request)
        ++counts[chooseService(balance, m_route, 0.3)];
    EXPECT_NEAR(counts["a"], 900, 10);
    EXPECT_NEAR(counts["b"], 100, 10);
}

TEST_F(traffic_split_test, Split_FewRequestsOnEachHost_SharesHoldOverAllHosts)
{
    std::map<std::string, int> counts;
    for (int host = 0; host < 20; ++host) {
        split_balance balance;
        for (int request = 0; request < 5; ++request)
            ++counts[chooseService(balance, m_route, host / 20.0)];
    }
    EXPECT_NEAR(counts["b"], 10, 10);
}

TEST_F(traffic_split_test, Split_WeightZero_IsNeverChosen)
{
    m_route.split = { { "a", 1 }, { "b", 0 } };
    split_balance balance;
    for (int request = 0; request < 50; ++request)
        EXPECT_EQ(chooseService(balance, m_route, 0.9), "a");
}

} // namespace
} // namespace acaciaslip::coordination::gateway
