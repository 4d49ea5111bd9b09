#pragma once

#include "state/service_activity.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Refill rates and capacity of a token bucket.
struct token_refill {
    double perRequest = 0; ///< tokens added for each incoming request
    double perSecond = 0; ///< tokens added per second, so that a service with few requests has some
    double burst = 1; ///< capacity of the bucket, in tokens
};

/// Adds the tokens for one incoming request and for the time since the last refill.
void refillBucket(state::token_bucket& bucket, const token_refill& refill, state::time_point now) noexcept;

/// Whether a bucket holds enough tokens for a cost.
[[nodiscard]] bool hasTokens(const state::token_bucket& bucket, double cost) noexcept;

} // namespace acaciaslip::coordination
