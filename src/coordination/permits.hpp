#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <cstdint>

namespace acaciaslip::coordination {

/// How many requests this node may have in flight on a cold server.
/// \details The server's limit is cut into permits; permit i belongs to the i-th entry host by rendezvous hash of
/// (server, host), so that all nodes with one view of the entry hosts together stay within the limit.
[[nodiscard]] std::uint32_t coldAllowance(const node& self, const state::server_record& server, state::time_point now);

} // namespace acaciaslip::coordination
