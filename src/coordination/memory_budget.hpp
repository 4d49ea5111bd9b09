#pragma once

#include <cstdint>
#include <memory>

namespace acaciaslip::coordination {

/// Pattern: large messages under load. Requests and answers are held in memory until they are complete and have been
/// passed on, so a few callers or servers with large ones could use up the memory of a host. All messages of a process
/// share one budget. A message may hold at most as much as is still free of the part for large messages (a dynamic
/// threshold), so no single one takes all of it, and small messages keep a part of their own.
struct memory_budget {
    std::uint64_t limitBytes = 0; ///< for all messages together
    std::uint64_t heldBytes = 0;
    std::uint64_t peakBytes = 0; ///< highest value of `heldBytes`
    std::uint64_t rejections = 0; ///< messages that were not allowed to grow
};

/// Returns the budget for messages of a process.
/// \param processBytes memory that the process may use in total
[[nodiscard]] memory_budget makeMemoryBudget(std::uint64_t processBytes) noexcept;

/// Whether a message may grow.
/// \param current bytes that the message holds
/// \param wanted bytes that it needs in total
[[nodiscard]] bool mayGrow(const memory_budget& budget, std::uint64_t current, std::uint64_t wanted) noexcept;

/// A message's share of a budget, released when it is destroyed.
class memory_reservation {
public:
    explicit memory_reservation(std::shared_ptr<memory_budget> budget) noexcept;
    ~memory_reservation();
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    /// Changes the reserved size.
    /// \return false if the budget does not allow it; the reservation then keeps its size
    [[nodiscard]] bool resize(std::uint64_t bytes) noexcept;

private:
    std::shared_ptr<memory_budget> m_budget;
    std::uint64_t m_bytes = 0;
};

} // namespace acaciaslip::coordination
