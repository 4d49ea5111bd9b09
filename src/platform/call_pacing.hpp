#pragma once

#include "state/time.hpp"

#include <cstdint>

namespace acaciaslip::platform {

/// Limits how often one process calls the store while calls fail or return nothing new. The store's rate limit is
/// shared by all processes, so a loop in each of them would make it unavailable.
struct call_pacing {
    std::uint32_t failures = 0; ///< failed calls since the last usable answer to a watch
    std::uint32_t uselessAnswers = 0; ///< consecutive watch answers that came early and contained nothing new
    std::uint64_t uselessAnswersTotal = 0; ///< since the process started
};

/// Records a failed call.
/// \param jitter uniformly distributed in [0, 1)
/// \return the delay before the next call
[[nodiscard]] state::duration delayAfterFailure(call_pacing& pacing, double jitter) noexcept;

/// Records a watch answer that came early and contained nothing new.
/// \param jitter uniformly distributed in [0, 1)
/// \return the delay before the next watch
[[nodiscard]] state::duration delayAfterUselessAnswer(call_pacing& pacing, double jitter) noexcept;

/// Records a watch answer that was either new or came after the requested time.
void recordUsefulAnswer(call_pacing& pacing) noexcept;

/// Time limit for an answer. It grows while calls fail, so that a slow store is not given up every time.
/// \param base time limit while calls succeed
[[nodiscard]] state::duration answerTimeout(const call_pacing& pacing, state::duration base) noexcept;

} // namespace acaciaslip::platform
