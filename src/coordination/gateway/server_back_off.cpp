#include "coordination/gateway/server_back_off.hpp"

#include "coordination/gateway/probe_targets.hpp"
#include "coordination/gateway/server_health.hpp"
#include "coordination/gateway/server_load.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace acaciaslip::coordination::gateway {

void recordBackOff(gateway_node& self, const state::host_id& server, const state::gateway::back_off_report& backOff,
    std::string_view from, state::time_point now, effect_list& effects)
{
    auto* const known = findServer(self, server);
    if (known == nullptr || backOff.statement == state::gateway::header_statement::none)
        return;
    const bool named = backOff.statement == state::gateway::header_statement::named;
    // The longest time holds: a refusal of a request that was under way earlier may name a shorter one.
    if (named)
        known->backOffUntil = std::max(known->backOffUntil.value_or(now), now + backOff.time);
    ++(named ? self.counters.backOffsNamed : self.counters.backOffsUnreadable);
    effects.emplace_back(log_event { log_level::info, "server_back_off",
        { { "server", server },
            { "ms", named ? fmt::format("{:.0f}", state::toMilliseconds(backOff.time)) : "unreadable" },
            { "from", std::string(from) } } });
}

bool isBackingOff(const state::gateway::server_state& server, state::time_point now) noexcept
{
    return server.backOffUntil && now < *server.backOffUntil;
}

std::optional<state::duration> timeUntilBackOffEnds(
    const gateway_node& self, std::string_view service, state::time_point now)
{
    std::optional<state::duration> shortest;
    const auto known = self.services.find(service);
    if (known == self.services.end())
        return shortest;
    for (const auto& id : known->second.members) {
        const auto& server = self.servers.at(id);
        if (!isEligible(server, now))
            continue;
        if (isBackingOff(server, now))
            shortest = std::min(shortest.value_or(state::duration::max()), *server.backOffUntil - now);
        else if (!isEjected(server, now))
            return std::nullopt;
    }
    return shortest;
}

} // namespace acaciaslip::coordination::gateway
