#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <set>

namespace acaciaslip::coordination {

/// Minimum gap between two events that counts as a pause of the process; ticks come every 10 ms.
inline constexpr state::duration pauseThreshold = std::chrono::milliseconds { 500 };
/// Maximum time for which new sends are held after a pause.
inline constexpr state::duration refreshTimeout = std::chrono::milliseconds { 300 };

/// State of the refresh after a pause.
struct refresh_state {
    std::uint64_t queryId = 0; ///< id of the request sent to peers, repeated by replies; 0: no refresh in progress
    state::time_point startedAt; ///< start of the refresh
    bool peerAnswered = false; ///< a peer has replied to the request
    std::set<state::value_key> platformAnswered; ///< keys read from the platform since the pause
    bool usingStaleState = false; ///< the refresh timed out: decisions use the state from before the pause
    std::uint64_t timeouts = 0; ///< number of refreshes that timed out
};

/// Whether new work must be held because the process was paused and its state is not yet refreshed.
/// \return false at the latest `refreshTimeout` after the pause
[[nodiscard]] bool isStateStale(const node& self, state::time_point now) noexcept;

/// Detects a pause of the process and starts a refresh: requests the current revisions from a few peers and from the
/// platform.
/// \details Must be called before anything else for every event.
void detectPause(node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Processes a peer's reply to the request sent after a pause.
void handleRefreshReply(node& self, const state::peer_message& answer, state::time_point now);

/// Processes a value that was read, which may be the answer to a platform read started after a pause.
void handleRefreshRead(node& self, const value_received& received, state::time_point now);

} // namespace acaciaslip::coordination
