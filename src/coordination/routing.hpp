#pragma once

#include "state/fleet.hpp"

#include <optional>
#include <string_view>

namespace acaciaslip::coordination {

/// Finds the service for a request by the longest matching path prefix.
/// \details Between equally long prefixes, a service with a host name takes precedence over one without. A prefix
/// matches whole path segments: "/a" matches "/a" and "/a/b", but not "/ab".
/// \return the service, or nothing when no active service matches
[[nodiscard]] std::optional<state::service_index> findRoute(
    const state::fleet& fleet, std::string_view host, std::string_view path) noexcept;

} // namespace acaciaslip::coordination
