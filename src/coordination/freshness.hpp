#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <set>

namespace acaciaslip::coordination {

/// A gap between two events from which on the process counts as paused; ticks come every 10 ms.
inline constexpr state::duration pauseThreshold = std::chrono::milliseconds { 500 };
/// How long new sends may be held after a pause.
inline constexpr state::duration refreshBound = std::chrono::milliseconds { 300 };

/// State of the refresh after a pause.
struct freshness_state {
    std::uint64_t question = 0; ///< asked of peers since the wake; an answer repeats it
    state::time_point askedAt; ///< when the refresh began
    bool peerAnswered = false; ///< a peer answered the question
    std::set<state::value_key> platformAnswered; ///< keys read from the platform since the wake
    bool onOldPicture = false; ///< nobody answered in time: decisions rest on the picture from before the pause
    std::uint64_t unanswered = 0; ///< pauses after which nobody answered in time
};

/// Whether new work must be held because the process was paused and has not yet asked what changed.
/// \return false at the latest `refreshBound` after the wake
[[nodiscard]] bool isPictureSuspect(const node& self, state::time_point now) noexcept;

/// Notices a pause: asks a few peers and the platform at once for revisions.
/// \details Called first for every event.
void noteTimePassed(node& self, state::time_point now, random_generator& random, effect_list& effects);

/// Takes a peer's answer to the question asked after a pause.
void noteFreshnessAnswer(node& self, const state::peer_message& answer, state::time_point now);

/// Takes a platform's answer to a read that began after a pause.
void noteFreshnessRead(node& self, const value_received& received, state::time_point now);

} // namespace acaciaslip::coordination
