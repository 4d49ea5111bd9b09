#include "coordination/gateway/cold_admission.hpp"

namespace acaciaslip::coordination::gateway {

bool mayUseColdSlot(state::time_point coldUntil, double perSecond, host_share share,
    std::optional<state::time_point> lastUsed, state::time_point now) noexcept
{
    return now >= coldUntil
        || timeUntilSlot(coldUntil - now, perSecond, share, lastUsed, now) == state::duration::zero();
}

} // namespace acaciaslip::coordination::gateway
