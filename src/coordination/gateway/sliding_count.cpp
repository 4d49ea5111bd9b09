#include "coordination/gateway/sliding_count.hpp"

#include <algorithm>
#include <numeric>

namespace acaciaslip::coordination::gateway {

namespace {

state::duration slotWidth(state::duration window)
{
    return window / static_cast<std::int64_t>(sliding_count::slotCount);
}

/// Moves the window on to the present.
void advance(sliding_count& count, state::duration window, state::time_point now)
{
    const auto slot = now.time_since_epoch() / slotWidth(window);
    const auto size = static_cast<std::int64_t>(count.slots.size());
    for (auto passed = std::max(count.newest + 1, slot - size + 1); passed <= slot; ++passed)
        count.slots[static_cast<std::size_t>(passed % size)] = 0;
    count.newest = std::max(count.newest, slot);
}

} // namespace

void add(sliding_count& count, double requests, state::duration window, state::time_point now) noexcept
{
    advance(count, window, now);
    count.slots[static_cast<std::size_t>(count.newest) % count.slots.size()] += requests;
}

double sumOf(sliding_count& count, state::duration window, state::time_point now) noexcept
{
    advance(count, window, now);
    const auto width = slotWidth(window);
    const double passed
        = static_cast<double>((now.time_since_epoch() % width).count()) / static_cast<double>(width.count());
    const auto oldest = static_cast<std::size_t>(count.newest + 1) % count.slots.size();
    return std::accumulate(count.slots.begin(), count.slots.end(), 0.0) - count.slots[oldest] * passed;
}

} // namespace acaciaslip::coordination::gateway
