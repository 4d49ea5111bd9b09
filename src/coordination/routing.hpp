#pragma once

#include "state/fleet.hpp"

#include <optional>
#include <string_view>

namespace acaciaslip::coordination {

/// Finds the service for a request: the longest matching path prefix; a named host goes before any host.
/// \details A prefix matches whole path segments: "/a" matches "/a" and "/a/b", not "/ab".
/// \return the service, or nothing when no active service matches
[[nodiscard]] std::optional<state::service_index> findRoute(
    const state::fleet& fleet, std::string_view host, std::string_view path) noexcept;

} // namespace acaciaslip::coordination
