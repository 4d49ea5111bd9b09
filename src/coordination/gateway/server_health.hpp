#pragma once

#include "state/gateway/server_state.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

namespace acaciaslip::coordination::gateway {

/// Detects grey failures. A server may pass its health check while it fails or delays some of its requests, so its
/// responses are evaluated too. Both averages decay with time, because the cause is temporary and only new requests can
/// show whether it persists.

/// Records the duration of a request relative to the expected duration.
void recordDuration(state::gateway::server_state& server, state::duration took, state::duration expected,
    state::time_point now) noexcept;

/// Records whether a request succeeded.
void recordAnswer(state::gateway::server_state& server, bool good, state::time_point now) noexcept;

/// Records that a server was unreachable or did not answer a probe, and ejects it for a limited time.
void recordUnreachable(state::gateway::server_state& server, state::time_point now) noexcept;

/// Records that a server answered a probe.
void recordReachable(state::gateway::server_state& server) noexcept;

/// Ratio of observed to expected duration, decayed to now; 1 means as expected.
[[nodiscard]] double currentSlowdown(const state::gateway::server_state& server, state::time_point now) noexcept;

/// Share of a server's requests that fail, decayed to now.
[[nodiscard]] double currentFailureRate(const state::gateway::server_state& server, state::time_point now) noexcept;

/// Whether a server is ejected, so that it is probed only when no other server is left.
[[nodiscard]] bool isEjected(const state::gateway::server_state& server, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
