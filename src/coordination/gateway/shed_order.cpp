#include "coordination/gateway/shed_order.hpp"

#include "coordination/gateway/request_classes.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// Bounds of the spread: a caller that is told to return later than this gains nothing in a short peak.
constexpr state::duration minSpread = std::chrono::milliseconds { 100 };
constexpr state::duration maxSpread = std::chrono::seconds { 5 };

} // namespace

std::optional<state::duration> returnSpread(
    const gateway_node& self, const state::gateway::pending_request& request) noexcept
{
    const auto* const known = findClass(self, request);
    if (known == nullptr)
        return std::nullopt;
    const auto& classes = self.services.at(request.service).classes;
    if (std::none_of(
            classes.begin(), classes.end(), [&](const auto& other) { return other.priority < known->priority; }))
        return std::nullopt;
    // The counts of one class have decayed alike, so that their ratio needs no correction.
    const double ratio = known->recentRefused / std::max(known->recentServed, 1.0);
    const auto needed = std::chrono::duration_cast<state::duration>(classCountDecayTime * std::min(ratio, 1.0));
    return std::clamp<state::duration>(needed, minSpread, maxSpread);
}

} // namespace acaciaslip::coordination::gateway
