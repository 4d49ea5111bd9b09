#pragma once

#include "coordination/gateway/events.hpp"

namespace acaciaslip::coordination::gateway {

/// Whether a response of this status promises a caller that its request has not run and never will.
[[nodiscard]] constexpr bool promisesNotRun(int status) noexcept
{
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == requestTimeout || status == misdirected || status == tooManyRequests || status == unavailable;
}

/// Whether a server answered with such a status without stating that it has not executed the request.
///
/// An overloaded or failing server may send any of these statuses after it has run the request. Passed on, the answer
/// would make the caller repeat a request that must run only once.
[[nodiscard]] constexpr bool isUnprovenRefusal(const attempt_finished& finished) noexcept
{
    return finished.outcome == state::attempt_outcome::answered && promisesNotRun(finished.status);
}

} // namespace acaciaslip::coordination::gateway
