#pragma once

#include "coordination/gateway/node.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Result of checking the key of a request.
struct key_check {
    const state::gateway::team* team = nullptr; ///< null on a route that needs no key; points into the configuration
    std::optional<state::refusal_reason> refused;
};

/// Checks whether a request may use a route. A route needs a key if the configuration has teams and the route is not
/// anonymous; otherwise a key that is sent has no effect.
/// \return the team, or `unknown_key`, or `keys_outdated` if removed keys may still be in force here
[[nodiscard]] key_check checkKey(const gateway_node& self, const state::gateway::route& route,
    const request_arrived& arrived, state::time_point now) noexcept;

/// Fields for the log line of a request that was refused because of its key; they never contain the key.
[[nodiscard]] std::vector<std::pair<std::string, std::string>> describeKeyRefusal(
    const gateway_node& self, const request_arrived& arrived, state::time_point now);

} // namespace acaciaslip::coordination::gateway
