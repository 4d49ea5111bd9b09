#include "coordination/memory_budget.hpp"

#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

constexpr std::uint64_t megabyte = 1048576;
constexpr std::uint64_t smallestHost = 160 * megabyte;

class memory_budget_test : public testing::Test {
protected:
    /// A message that receives bytes until it is refused or has `size` bytes.
    std::uint64_t receive(memory_reservation& message, std::uint64_t size) const
    {
        constexpr std::uint64_t readBytes = 65536;
        std::uint64_t held = 0;
        while (held < size && message.resize(std::min(held + readBytes, size)))
            held = std::min(held + readBytes, size);
        return held;
    }

    std::shared_ptr<memory_budget> m_budget = std::make_shared<memory_budget>(makeMemoryBudget(smallestHost));
};

TEST_F(memory_budget_test, Messages_WithoutEnd_StayWithinMemoryOfSmallestHost)
{
    std::vector<std::unique_ptr<memory_reservation>> messages;
    for (int message = 0; message < 1000; ++message) {
        messages.push_back(std::make_unique<memory_reservation>(m_budget));
        (void)receive(*messages.back(), UINT64_MAX);
    }
    // Three copies of each message, beside 48 MB of the process itself.
    EXPECT_LE(m_budget->peakBytes * 3 + 48 * megabyte, smallestHost);
    EXPECT_GE(m_budget->rejections, 1000U);
}

TEST_F(memory_budget_test, LargeMessage_BesideOneWithoutEnd_IsAllowed)
{
    memory_reservation endless(m_budget);
    (void)receive(endless, UINT64_MAX);
    memory_reservation other(m_budget);
    EXPECT_EQ(receive(other, 4 * megabyte), 4 * megabyte);
}

TEST_F(memory_budget_test, SmallMessages_BesideLargeOnesWithoutEnd_AreAllowed)
{
    std::vector<std::unique_ptr<memory_reservation>> endless;
    for (int message = 0; message < 200; ++message) {
        endless.push_back(std::make_unique<memory_reservation>(m_budget));
        (void)receive(*endless.back(), UINT64_MAX);
    }
    std::vector<std::unique_ptr<memory_reservation>> small;
    for (int message = 0; message < 100; ++message) {
        small.push_back(std::make_unique<memory_reservation>(m_budget));
        EXPECT_TRUE(small.back()->resize(4096)) << message;
    }
}

TEST_F(memory_budget_test, DeclaredLength_AboveHalfOfFreePart_IsRefusedAtOnce)
{
    memory_reservation message(m_budget);
    EXPECT_FALSE(message.resize(60 * megabyte));
    EXPECT_EQ(m_budget->heldBytes, 0U);
    EXPECT_TRUE(message.resize(8 * megabyte));
}

TEST_F(memory_budget_test, Reservations_Destroyed_BudgetIsFreeAgain)
{
    {
        memory_reservation first(m_budget);
        memory_reservation second(m_budget);
        EXPECT_TRUE(first.resize(5 * megabyte));
        EXPECT_TRUE(second.resize(1000));
        EXPECT_TRUE(first.resize(0));
        EXPECT_EQ(m_budget->heldBytes, 1000U);
    }
    EXPECT_EQ(m_budget->heldBytes, 0U);
    EXPECT_EQ(m_budget->peakBytes, 5 * megabyte + 1000);
}

TEST_F(memory_budget_test, Limit_SmallMemory_ServesOrdinaryRequests)
{
    EXPECT_EQ(makeMemoryBudget(0).limitBytes, 8 * megabyte);
    EXPECT_GT(makeMemoryBudget(512 * megabyte).limitBytes, makeMemoryBudget(160 * megabyte).limitBytes);
}

} // namespace
} // namespace acaciaslip::coordination
