#include "coordination/sending.hpp"

#include "coordination/connection_limit.hpp"
#include "coordination/idempotency_keys.hpp"
#include "coordination/node.hpp"
#include "coordination/picking.hpp"
#include "coordination/server_tracking.hpp"
#include "coordination/state_refresh.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration decisionLifetime = std::chrono::milliseconds { 250 };

void sendTo(node& self, state::request& request, state::server_index index, attempt_role role, state::time_point now,
    effect_list& effects)
{
    const auto& server = self.fleet.servers[index];
    const auto& settings = self.fleet.services[request.service].settings;
    const auto id = state::attempt_id { self.requests.nextAttempt++ };
    self.requests.attempts[id] = { id, request.id, index, now, role == attempt_role::hedge, request.idempotencyKey };
    addKeyHolder(self.requests, request.idempotencyKey);
    request.attemptsInFlight.push_back(id);
    request.excludedServers.push_back(index);
    ++request.attempts;
    recordAttemptStarted(self, index, now);
    effects.emplace_back(send_attempt { id, server.id, server.address, request.deadline,
        std::min(request.deadline, now + decisionLifetime),
        connectionLimitPerHost(settings.connections, self.fleet.entryHosts.size()), request.body });
}

} // namespace

bool trySend(node& self, state::request& request, attempt_role role, state::time_point now, random_generator& random,
    effect_list& effects)
{
    if (now >= request.deadline || isStateStale(self, now))
        return false;
    const auto picked = pickServer(self, request, now, random);
    if (!picked)
        return false;
    sendTo(self, request, *picked, role, now, effects);
    return true;
}

bool hasEligibleServer(const node& self, state::service_index service) noexcept
{
    const auto& members = self.fleet.services[service].members;
    return std::any_of(members.begin(), members.end(),
        [&](state::server_index index) { return isEligible(self.fleet.servers[index]); });
}

} // namespace acaciaslip::coordination
