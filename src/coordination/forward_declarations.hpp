#pragma once

#include <variant>
#include <vector>

#include <pcg_random.hpp>

namespace acaciaslip::coordination {

struct node;

/// The generator that every random choice draws from; seeded by whoever drives the node.
using random_generator = pcg32;

} // namespace acaciaslip::coordination
