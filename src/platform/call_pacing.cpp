#include "platform/call_pacing.hpp"

#include <algorithm>

namespace acaciaslip::platform {

namespace {

constexpr state::duration minBackoff = std::chrono::milliseconds { 100 };
constexpr state::duration maxFailureBackoff = std::chrono::milliseconds { 800 };
/// Longer than after failures: a store that answers wrongly does not recover by being called.
constexpr state::duration maxUselessBackoff = std::chrono::milliseconds { 3200 };
constexpr std::uint32_t maxDoublings = 5; ///< reaches the longest backoff
constexpr std::uint32_t maxTimeoutDoublings = 2;

/// Doubles the delay with each repetition; the jitter covers its upper half.
state::duration backoff(std::uint32_t repetitions, state::duration longest, double jitter) noexcept
{
    const auto full = std::min<state::duration>(minBackoff * (1U << std::min(repetitions, maxDoublings)), longest);
    return full / 2 + std::chrono::duration_cast<state::duration>(full / 2 * jitter);
}

} // namespace

state::duration delayAfterFailure(call_pacing& pacing, double jitter) noexcept
{
    return backoff(pacing.failures++, maxFailureBackoff, jitter);
}

state::duration delayAfterUselessAnswer(call_pacing& pacing, double jitter) noexcept
{
    ++pacing.uselessAnswersTotal;
    return backoff(pacing.uselessAnswers++, maxUselessBackoff, jitter);
}

void recordUsefulAnswer(call_pacing& pacing) noexcept
{
    pacing.failures = 0;
    pacing.uselessAnswers = 0;
}

state::duration answerTimeout(const call_pacing& pacing, state::duration base) noexcept
{
    return base * (1U << std::min(pacing.failures, maxTimeoutDoublings));
}

} // namespace acaciaslip::platform
