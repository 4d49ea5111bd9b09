#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/identifiers.hpp"
#include "state/request_table.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Whether a server is eligible for new requests, regardless of its load.
[[nodiscard]] bool isEligible(const state::server_record& server) noexcept;

/// Selects a server for a request, excluding servers that the request has already tried.
/// \return the server, or nothing when there is no eligible server with spare capacity
[[nodiscard]] std::optional<state::server_index> pickServer(
    const node& self, const state::request& request, state::time_point now, random_generator& random);

} // namespace acaciaslip::coordination
