#include "coordination/token_budget.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

void fillBucket(state::token_bucket& bucket, const token_supply& supply, state::time_point now) noexcept
{
    const double elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = std::min(supply.burst, bucket.tokens + supply.perRequest + (elapsed * supply.perSecond));
    bucket.refilledAt = now;
}

bool canPay(const state::token_bucket& bucket, double cost) noexcept
{
    constexpr double tolerance = 1e-9; // shares such as 0.1 have no exact sum
    return bucket.tokens + tolerance >= cost;
}

} // namespace acaciaslip::coordination
