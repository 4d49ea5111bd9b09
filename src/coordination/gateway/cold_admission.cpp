#include "coordination/gateway/cold_admission.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// Time for which a slot may be used. The hosts whose slots overlap can send at most twice the server's rate in one
/// second.
constexpr state::duration slotDuration = std::chrono::milliseconds { 900 };
constexpr double minRate = 0.01; ///< requests per second; keeps intervals finite

} // namespace

bool mayUseColdSlot(state::time_point coldUntil, double perSecond, host_share share,
    std::optional<state::time_point> lastUsed, state::time_point now) noexcept
{
    if (now >= coldUntil)
        return true;
    const double hosts = std::max<std::uint32_t>(share.hosts, 1);
    const auto step = std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double> { 1 / std::max(perSecond, minRate) });
    const auto interval = std::chrono::duration_cast<state::duration>(step * hosts);
    // Slots start at coldUntil - rank * step - n * interval. The following computes how long ago the current one
    // started.
    const auto untilSlot = (coldUntil - now - step * share.rank) % interval;
    const auto positive = untilSlot < state::duration::zero() ? untilSlot + interval : untilSlot;
    const auto slotAge = positive == state::duration::zero() ? positive : interval - positive;
    if (slotAge >= std::min(slotDuration, interval))
        return false;
    return !lastUsed || *lastUsed < now - slotAge;
}

} // namespace acaciaslip::coordination::gateway
