#pragma once

#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace acaciaslip::coordination::gateway {

/// Requests in a sliding window, in slots of equal width.
struct sliding_count {
    static constexpr std::size_t slotCount = 20;

    std::array<double, slotCount + 1> slots {}; ///< the oldest one counts in part
    std::int64_t newest = 0; ///< number of the newest slot, counted from the clock's epoch
};

/// Counts requests that have just been admitted.
void add(sliding_count& count, double requests, state::duration window, state::time_point now) noexcept;

/// Sum of the requests in the window that ends now.
[[nodiscard]] double sumOf(sliding_count& count, state::duration window, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
