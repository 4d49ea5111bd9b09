#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <cstdint>

namespace acaciaslip::coordination {

/// Number of successful responses after which a permit holder raises a cold server's limit by one step.
/// \details Two after at most one reset to cold since the server was last warm, twice as many after each further reset,
/// and at least sixteen while its health endpoint reports it as cold. The limit doubles up to the number of slots (1,
/// 2, 4, warm). A server that responds successfully is therefore warm after at most 5 successful responses over all
/// nodes with 2 slots, and at most 10 with 4, not counting requests in flight while the change reaches the peers: at
/// each step, every permit holder but one may be one response short of the threshold.
[[nodiscard]] std::uint32_t responsesToRaiseLimit(const state::server_record& server, state::time_point now) noexcept;

/// Records a successful response of a cold server. Only requests that were sent in the current epoch count.
void recordColdResponse(
    node& self, state::server_record& server, state::time_point startedAt, state::time_point now, effect_list& effects);

/// Records a shed response and resets the server to cold after too many in a row, subject to the panic threshold.
/// \details Shed responses, stalls and slow responses are also symptoms of plain overload. Resetting a whole service to
/// cold because of them would reduce its capacity when it is already short. They therefore never make more than half of
/// a service's servers cold.
void recordShedResponse(node& self, state::server_record& server, state::time_point now, effect_list& effects);

/// Resets a warm server to cold when its health endpoint starts to report it as cold. The panic threshold applies,
/// since the report may be wrong.
void handleReportedCold(node& self, state::server_record& server, state::time_point now, effect_list& effects);

/// Records a response latency and resets a warm server to cold when its recent latency is far above its baseline. The
/// panic threshold applies.
void recordLatency(
    node& self, state::server_record& server, state::duration latency, state::time_point now, effect_list& effects);

/// Resets a warm server to cold when a request has been in flight for far longer than the baseline latency. The panic
/// threshold applies.
void checkStall(node& self, state::server_record& server, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
