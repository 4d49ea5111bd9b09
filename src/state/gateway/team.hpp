#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::state::gateway {

/// A group of callers that are identified by its keys and share its allowance.
struct team {
    std::string name;
    std::vector<std::string> keys; ///< secrets; must not be logged or sent to servers
    std::optional<std::uint32_t> priority; ///< takes precedence over the priority of a route
    double ratePerSecond = 0; ///< requests per second, over all hosts; 0: not limited
    double burst = 0; ///< requests beyond the rate

    [[nodiscard]] bool operator==(const team&) const = default;
};

} // namespace acaciaslip::state::gateway
