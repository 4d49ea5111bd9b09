#include "coordination/freshness.hpp"

#include "coordination/node.hpp"

namespace acaciaslip::coordination {

bool isPictureSuspect(const node& self, state::time_point now) noexcept
{
    return self.suspectSince.has_value() && now - *self.suspectSince < refreshBound;
}

void noteTimePassed(node& self, state::time_point now, random_generator& /*random*/, effect_list& /*effects*/)
{
    const bool paused = now - self.lastEventAt >= pauseThreshold;
    if (self.phase == node_phase::starting || !paused)
        return;
    ++self.counters.pauses;
}

} // namespace acaciaslip::coordination
