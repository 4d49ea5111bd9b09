#include "coordination/gateway/traffic_split.hpp"

#include <limits>

namespace acaciaslip::coordination::gateway {

namespace {

double totalWeight(const state::gateway::route& route) noexcept
{
    double total = 0;
    for (const auto& part : route.split)
        total += part.weight;
    return total;
}

/// Initializes the credits so that each host starts at its own point of the cycle.
void initialize(split_balance& balance, const state::gateway::route& route, double offset)
{
    double left = offset * totalWeight(route);
    for (const auto& part : route.split) {
        balance.credit[part.service] = left < part.weight && left >= 0 ? part.weight : 0;
        left -= part.weight;
    }
}

} // namespace

const std::string& chooseService(split_balance& balance, const state::gateway::route& route, double offset)
{
    const auto total = totalWeight(route);
    if (route.split.size() == 1 || total <= 0)
        return route.split.front().service;
    if (balance.credit.empty())
        initialize(balance, route, offset);
    const auto* chosen = &route.split.front();
    double highestCredit = std::numeric_limits<double>::lowest();
    for (const auto& part : route.split) {
        auto& credit = balance.credit[part.service];
        credit += part.weight;
        if (part.weight > 0 && credit > highestCredit) {
            chosen = &part;
            highestCredit = credit;
        }
    }
    balance.credit[chosen->service] -= total;
    return chosen->service;
}

} // namespace acaciaslip::coordination::gateway
