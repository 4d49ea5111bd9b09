#include "coordination/gateway/due_requests.hpp"

#include "coordination/gateway/waiting_order.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

void schedule(gateway_node& self, state::gateway::pending_request& request)
{
    unschedule(self, request);
    updateWaiting(self, request);
    auto due = request.deadline;
    if (request.round)
        due = std::min(due, request.round->decideAt);
    if (request.probeAgainAt)
        due = std::min(due, *request.probeAgainAt);
    if (request.hedgeAt)
        due = std::min(due, *request.hedgeAt);
    request.dueAt = due;
    self.due.emplace(due, static_cast<std::uint64_t>(request.id));
}

void unschedule(gateway_node& self, const state::gateway::pending_request& request)
{
    self.due.erase({ request.dueAt, static_cast<std::uint64_t>(request.id) });
}

} // namespace acaciaslip::coordination::gateway
