#include "coordination/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::coordination {

namespace {

/// Memory of the process beside messages in hand: program, fleet data, connections and the log.
constexpr std::uint64_t processReserveBytes = 50331648; // 48 MiB
/// A message exists up to three times while it is passed on: received, encoded, and in a buffer that grows.
constexpr std::uint64_t copiesPerMessage = 3;
constexpr std::uint64_t minLimitBytes = 8388608; // 8 MiB; less could not serve ordinary requests
constexpr std::uint64_t smallMessageBytes = 65536;
/// Large messages together use at most one part in this many of the budget; the rest is for small ones.
constexpr std::uint64_t largePartDivisor = 2;

} // namespace

memory_budget makeMemoryBudget(std::uint64_t processBytes) noexcept
{
    const auto available = processBytes > processReserveBytes ? processBytes - processReserveBytes : 0;
    memory_budget budget;
    budget.limitBytes = std::max(available / copiesPerMessage, minLimitBytes);
    return budget;
}

bool mayGrow(const memory_budget& budget, std::uint64_t current, std::uint64_t wanted) noexcept
{
    if (wanted <= current)
        return true;
    const auto others = budget.heldBytes - current;
    if (wanted <= smallMessageBytes)
        return others + wanted <= budget.limitBytes;
    const auto largePart = budget.limitBytes / largePartDivisor;
    return others < largePart && wanted <= (largePart - others) / 2;
}

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> budget) noexcept
    : m_budget(std::move(budget))
{
}

memory_reservation::~memory_reservation()
{
    m_budget->heldBytes -= m_bytes;
}

bool memory_reservation::resize(std::uint64_t bytes) noexcept
{
    if (!mayGrow(*m_budget, m_bytes, bytes)) {
        ++m_budget->rejections;
        return false;
    }
    m_budget->heldBytes = m_budget->heldBytes - m_bytes + bytes;
    m_budget->peakBytes = std::max(m_budget->peakBytes, m_budget->heldBytes);
    m_bytes = bytes;
    return true;
}

} // namespace acaciaslip::coordination
