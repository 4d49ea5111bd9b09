#pragma once

#include "state/gateway/configuration.hpp"

#include <string_view>

namespace acaciaslip::coordination::gateway {

/// Finds the route of a host with the longest prefix that matches the path.
/// \return the route, or null if none matches
[[nodiscard]] const state::gateway::route* findRoute(
    const state::gateway::configuration& config, std::string_view host, std::string_view path) noexcept;

} // namespace acaciaslip::coordination::gateway
