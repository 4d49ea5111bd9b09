#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <pcg_random.hpp>

namespace acaciaslip::fuzz {

/// A reader of bytes that come from outside.
struct target {
    std::string_view name;
    std::vector<std::string> samples; ///< valid inputs, which are then changed
    std::vector<std::string_view> fragments; ///< texts that have a meaning in the format
    /// Reads an input and ends the process if the result breaks a promise of the reader.
    void (*read)(const std::string& input, pcg32& random);
};

[[nodiscard]] std::span<const target> allTargets();

} // namespace acaciaslip::fuzz
