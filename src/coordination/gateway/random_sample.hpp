#pragma once

#include "coordination/forward_declarations.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Returns a random sample of distinct entries.
template <typename Item>
std::vector<Item> pickRandom(std::vector<Item> from, std::size_t maxCount, random_generator& random)
{
    for (std::size_t index = 0; index < std::min(maxCount, from.size()); ++index) {
        const auto other = index + random(static_cast<std::uint32_t>(from.size() - index));
        std::swap(from[index], from[other]);
    }
    from.resize(std::min(maxCount, from.size()));
    return from;
}

} // namespace acaciaslip::coordination::gateway
