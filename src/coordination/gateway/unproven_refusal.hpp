#pragma once

#include "coordination/gateway/events.hpp"

namespace acaciaslip::coordination::gateway {

/// Whether callers take a response of this status as a guarantee that no server has executed the request or will.
[[nodiscard]] constexpr bool guaranteesNotRun(int status) noexcept
{
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == requestTimeout || status == misdirected || status == tooManyRequests || status == unavailable;
}

/// Whether a server's response has such a status but no header which states that the request was not executed.
///
/// An overloaded or failing server may send any of these statuses after executing the request. If the response were
/// forwarded, the caller would send a request again that must be executed only once.
[[nodiscard]] constexpr bool isUnprovenRefusal(const attempt_finished& finished) noexcept
{
    return finished.outcome == state::attempt_outcome::answered && guaranteesNotRun(finished.status);
}

} // namespace acaciaslip::coordination::gateway
