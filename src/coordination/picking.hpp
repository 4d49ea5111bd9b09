#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/identifiers.hpp"
#include "state/request_ledger.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <optional>

namespace acaciaslip::coordination {

/// Whether a server may be given new work at all, whatever its load.
[[nodiscard]] bool isCandidate(const state::server_record& server) noexcept;

/// Chooses a server for a request: never one that the request has tried.
/// \return the server, or nothing when every candidate is full or there is none
[[nodiscard]] std::optional<state::server_index> pickServer(
    const node& self, const state::request& request, state::time_point now, random_generator& random);

} // namespace acaciaslip::coordination
