#include "coordination/server_checks.hpp"

#include "coordination/cold_start.hpp"
#include "coordination/ejection.hpp"
#include "coordination/node.hpp"
#include "coordination/permits.hpp"
#include "coordination/probe_results.hpp"
#include "coordination/probing.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration checkPeriod = std::chrono::milliseconds { 100 };

std::size_t takeDueCount(server_check_state& review, std::size_t servers, state::time_point now)
{
    const auto elapsed = now - review.lastCheckAt.value_or(now);
    review.lastCheckAt = now;
    const double periods = std::min(1.0, std::chrono::duration<double>(elapsed) / checkPeriod);
    review.due = std::min(review.due + periods * static_cast<double>(servers), static_cast<double>(servers));
    const auto dueCount = static_cast<std::size_t>(review.due);
    review.due -= static_cast<double>(dueCount);
    return dueCount;
}

} // namespace

void checkServers(node& self, state::time_point now, random_generator& random, effect_list& effects)
{
    refreshPermits(self, now);
    auto& servers = self.fleet.servers;
    for (auto left = takeDueCount(self.serverChecks, servers.size(), now); left > 0; --left) {
        auto& server = servers[self.serverChecks.next++ % servers.size()];
        if (server.listing == state::host_listing::absent)
            continue;
        checkStall(self, server, now, effects);
        endExpiredEjection(self, server, now, effects);
        expireDrainingReport(server, now);
        probeIfDue(self, server, now, random, effects);
    }
}

} // namespace acaciaslip::coordination
