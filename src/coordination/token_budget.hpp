#pragma once

#include "state/service_activity.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// What fills a bucket of tokens.
struct token_supply {
    double perRequest = 0; ///< tokens for each request that arrives
    double perSecond = 0; ///< tokens for each second, so that a quiet service has some
    double burst = 1; ///< the most that the bucket holds
};

/// Adds the tokens of one request that arrives, and of the time since the last one.
void fillBucket(state::token_bucket& bucket, const token_supply& supply, state::time_point now) noexcept;

/// Whether a bucket can pay.
[[nodiscard]] bool canPay(const state::token_bucket& bucket, double cost) noexcept;

} // namespace acaciaslip::coordination
