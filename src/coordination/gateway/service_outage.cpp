#include "coordination/gateway/service_outage.hpp"

#include "coordination/gateway/probe_targets.hpp"
#include "coordination/gateway/server_health.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

std::optional<state::duration> outageTime(const gateway_node& self, std::string_view service, state::time_point now)
{
    std::optional<state::duration> shortest;
    const auto known = self.services.find(service);
    if (known == self.services.end())
        return shortest;
    for (const auto& id : known->second.members) {
        const auto& server = self.servers.at(id);
        if (!isEligible(server, now))
            continue;
        if (!server.downSince || !isEjected(server, now))
            return std::nullopt;
        shortest = std::min(shortest.value_or(state::duration::max()), now - *server.downSince);
    }
    return shortest;
}

} // namespace acaciaslip::coordination::gateway
