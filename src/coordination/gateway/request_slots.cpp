#include "coordination/gateway/request_slots.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// Time for which a slot may be used. The hosts whose slots overlap can send at most twice the rate in one second.
constexpr state::duration slotDuration = std::chrono::milliseconds { 900 };
constexpr double minRate = 0.01; ///< requests per second; keeps intervals finite

} // namespace

state::duration timeUntilSlot(state::duration untilAnchor, double perSecond, host_share share,
    std::optional<state::time_point> lastUsed, state::time_point now) noexcept
{
    const double hosts = std::max<std::uint32_t>(share.hosts, 1);
    const auto step = std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double> { 1 / std::max(perSecond, minRate) });
    const auto interval = std::max(std::chrono::duration_cast<state::duration>(step * hosts), state::duration { 1 });
    // Slots start at the anchor - rank * step - n * interval. The following computes how long ago the current one
    // started.
    const auto untilSlot = (untilAnchor - step * share.rank) % interval;
    const auto positive = untilSlot < state::duration::zero() ? untilSlot + interval : untilSlot;
    const auto slotAge = positive == state::duration::zero() ? positive : interval - positive;
    const bool isOpen = slotAge < std::min(slotDuration, interval) && (!lastUsed || *lastUsed < now - slotAge);
    return isOpen ? state::duration::zero() : interval - slotAge;
}

} // namespace acaciaslip::coordination::gateway
