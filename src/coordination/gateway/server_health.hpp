#pragma once

#include "state/gateway/server_state.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: grey failure. A server's status check is good while it fails or delays part of its requests, so health is
/// judged by answers too. Both memories fade, because the cause passes and only new requests can show it.

/// Notes how long a request took against what was expected.
void noteDuration(state::gateway::server_state& server, state::duration took, state::duration expected,
    state::time_point now) noexcept;

/// Notes that a request was answered well, or not.
void noteAnswer(state::gateway::server_state& server, bool good, state::time_point now) noexcept;

/// Notes that a server could not be reached, or did not answer a question; it is avoided for a while.
void noteUnreachable(state::gateway::server_state& server, state::time_point now) noexcept;

/// Notes that a server answered a question.
void noteReachable(state::gateway::server_state& server) noexcept;

/// How much longer than reported work takes there, faded to now; 1 is as expected.
[[nodiscard]] double currentSlowness(const state::gateway::server_state& server, state::time_point now) noexcept;

/// The share of its requests that a server fails, faded to now.
[[nodiscard]] double currentFailureShare(const state::gateway::server_state& server, state::time_point now) noexcept;

/// Whether a server is asked only when nobody else is left.
[[nodiscard]] bool isAvoided(const state::gateway::server_state& server, state::time_point now) noexcept;

} // namespace acaciaslip::coordination::gateway
