#include "coordination/gateway/fleet_serving.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {
namespace {

using namespace std::chrono_literals;
using state::gateway::fetch_id;

class fleet_serving_test : public testing::Test {
protected:
    /// Gives the node a fleet of servers.
    void know(std::size_t servers)
    {
        for (std::size_t index = 0; index < servers; ++index) {
            auto& item = m_node.published.servers["s" + std::to_string(index)];
            item.revisionNumber = ++m_node.published.asOf;
            item.value.emplace();
        }
    }

    void request(std::uint64_t id, state::revision after = 0)
    {
        handleEvent(fetch_requested { fetch_id { id }, "10.0.0." + std::to_string(id), after });
    }
    void end(std::uint64_t id, bool complete) { handleEvent(fetch_served { fetch_id { id }, complete }); }
    void passTime(state::duration span)
    {
        m_now += span;
        handleEvent(timer_expired {});
    }

    /// Returns the ids of all effects of a kind, and forgets them.
    template <typename Effect> std::vector<std::uint64_t> take()
    {
        std::vector<std::uint64_t> ids;
        for (const auto& wanted : m_effects) {
            if (const auto* found = std::get_if<Effect>(&wanted))
                ids.push_back(static_cast<std::uint64_t>(found->id));
        }
        std::erase_if(m_effects, [](const auto& wanted) { return std::holds_alternative<Effect>(wanted); });
        return ids;
    }

    using id_list = std::vector<std::uint64_t>;

    state::time_point m_now { 1h };
    effect_list m_effects;

private:
    void handleEvent(const event& happened) { handle(m_node, happened, m_now, m_random, m_effects); }

    random_generator m_random { 1 };

protected:
    gateway_node m_node = makeNode({}, m_now);
};

TEST_F(fleet_serving_test, Fetch_NothingIsKnown_IsRefused)
{
    request(1);
    EXPECT_EQ(take<refuse_fetch>(), id_list { 1 });
}

TEST_F(fleet_serving_test, Fetches_OfSmallChange_AreAllServedAtOnce)
{
    know(1000);
    for (std::uint64_t id = 1; id <= 50; ++id)
        request(id, 990);
    EXPECT_EQ(take<serve_fleet>().size(), 50U);
}

TEST_F(fleet_serving_test, Fetches_OfLargeChange_TwoAreServedAndOthersWait)
{
    know(1000);
    for (std::uint64_t id = 1; id <= 10; ++id)
        request(id);
    EXPECT_EQ(take<serve_fleet>(), (id_list { 1, 2 }));
    end(1, false);
    EXPECT_EQ(take<serve_fleet>(), id_list { 3 });
    EXPECT_TRUE(take<redirect_fetch>().empty()) << "the host has not received its copy";
}

TEST_F(fleet_serving_test, Transfer_Complete_HalfOfTheWaitingAreRedirectedToItsReceiver)
{
    know(1000);
    for (std::uint64_t id = 1; id <= 10; ++id)
        request(id);
    end(1, true);
    EXPECT_EQ(take<redirect_fetch>(), (id_list { 10, 9, 8, 7 }));
    EXPECT_EQ(take<serve_fleet>(), (id_list { 1, 2, 3 }));
    end(2, true);
    EXPECT_EQ(take<redirect_fetch>(), (id_list { 6, 5 }));
    EXPECT_EQ(take<serve_fleet>(), id_list { 4 });
}

/// Guards against a host that stops reading and so keeps all others waiting.
TEST_F(fleet_serving_test, Transfers_OfHostsThatHaveStoppedReading_OthersAreServedAfterTheirTurn)
{
    know(1000);
    for (std::uint64_t id = 1; id <= 4; ++id)
        request(id);
    passTime(700ms);
    EXPECT_EQ(take<serve_fleet>(), (id_list { 1, 2 }));
    ASSERT_TRUE(nextServingStep(m_node));
    EXPECT_EQ(*nextServingStep(m_node), m_now + 100ms);
    passTime(100ms);
    EXPECT_EQ(take<serve_fleet>(), (id_list { 3, 4 }));
}

TEST_F(fleet_serving_test, WaitingHost_GivesUp_IsNotServed)
{
    know(1000);
    for (std::uint64_t id = 1; id <= 4; ++id)
        request(id);
    end(3, false);
    take<serve_fleet>();
    end(1, false);
    EXPECT_EQ(take<serve_fleet>(), id_list { 4 });
}

TEST_F(fleet_serving_test, Fetches_WithoutEnd_AreRefusedBeyondALimit)
{
    know(1000);
    for (std::uint64_t id = 1; id <= 1100; ++id)
        request(id);
    EXPECT_EQ(take<refuse_fetch>().size(), 74U);
}

} // namespace
} // namespace acaciaslip::coordination::gateway
