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

/// The digests of one request.
struct request_digests {
    request_digest exact; ///< of all that a server sees
    /// Of all but the query: some callers add the time of sending, and the request is the same one nevertheless.
    request_digest anyQuery; ///< all zero: there is none
};

} // namespace acaciaslip::state::gateway
