#include "coordination/token_bucket.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

void refillBucket(state::token_bucket& bucket, const token_refill& refill, state::time_point now) noexcept
{
    const double elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = std::min(refill.burst, bucket.tokens + refill.perRequest + (elapsed * refill.perSecond));
    bucket.refilledAt = now;
}

bool hasTokens(const state::token_bucket& bucket, double cost) noexcept
{
    constexpr double tolerance = 1e-9; // sums of fractions such as 0.1 are not exact
    return bucket.tokens + tolerance >= cost;
}

} // namespace acaciaslip::coordination
