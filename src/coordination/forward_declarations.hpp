#pragma once

#include <variant>
#include <vector>

#include <pcg_random.hpp>

namespace acaciaslip::coordination {

struct node;

/// The generator behind every random choice; seeded by the code that drives the node.
using random_generator = pcg32;

} // namespace acaciaslip::coordination
