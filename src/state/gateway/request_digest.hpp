#pragma once

#include <compare>
#include <cstdint>

namespace acaciaslip::state::gateway {

/// Identifies requests that a server cannot tell apart. All zero: unknown.
struct request_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] auto operator<=>(
        const request_digest&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

} // namespace acaciaslip::state::gateway
