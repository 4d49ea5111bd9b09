#include "coordination/routing.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

class routing_test : public testing::Test {
protected:
    void addService(const std::string& path, const std::string& host = "")
    {
        auto& service = m_fleet.services.emplace_back();
        service.settings.pathPrefix = path;
        service.settings.host = host;
    }

    state::fleet m_fleet;
};

TEST_F(routing_test, LongerPrefix_BothMatch_TakesPrecedence)
{
    addService("/");
    addService("/bookings");
    EXPECT_EQ(findRoute(m_fleet, "any", "/bookings/17"), 1U);
    EXPECT_EQ(findRoute(m_fleet, "any", "/routes"), 0U);
}

TEST_F(routing_test, Prefix_EndsInsideSegment_DoesNotMatch)
{
    addService("/book");
    EXPECT_EQ(findRoute(m_fleet, "any", "/bookings"), std::nullopt);
    EXPECT_EQ(findRoute(m_fleet, "any", "/book?day=2"), 0U);
}

TEST_F(routing_test, NamedHost_SamePrefix_TakesPrecedenceOverAnyHost)
{
    addService("/a");
    addService("/a", "crew.example");
    EXPECT_EQ(findRoute(m_fleet, "crew.example", "/a"), 1U);
    EXPECT_EQ(findRoute(m_fleet, "other.example", "/a"), 0U);
}

TEST_F(routing_test, Service_Inactive_DoesNotMatch)
{
    addService("/a");
    m_fleet.services[0].active = false;
    EXPECT_EQ(findRoute(m_fleet, "any", "/a"), std::nullopt);
}

} // namespace
} // namespace acaciaslip::coordination
