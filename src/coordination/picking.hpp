#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/identifiers.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <optional>

#include <absl/types/span.h>

namespace acaciaslip::coordination {

/// Whether a server may be given new work at all, whatever its load.
[[nodiscard]] bool isCandidate(const state::server_record& server) noexcept;

/// Chooses a server for a request.
/// \param tried servers not to choose again
/// \return the server, or nothing when every candidate is full or there is none
[[nodiscard]] std::optional<state::server_index> pickServer(const node& self, state::service_index service,
    absl::Span<const state::server_index> tried, state::time_point now, random_generator& random);

} // namespace acaciaslip::coordination
