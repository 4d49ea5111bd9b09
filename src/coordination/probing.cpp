#include "coordination/probing.hpp"

#include "coordination/node.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

constexpr double probeBurst = 1; ///< tokens that a node may save up per server

double probeShare(const node& self, const state::server_record& server)
{
    const auto& settings = self.fleet.services[server.service].settings;
    return settings.probesPerSecond / static_cast<double>(std::max<std::size_t>(self.fleet.entryHosts.size(), 1));
}

void refillTokens(const node& self, state::server_record& server, state::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - server.probeTokensAt).count();
    server.probeTokens = std::min(probeBurst, server.probeTokens + elapsed * probeShare(self, server));
    server.probeTokensAt = now;
}

} // namespace

void planProbes(node& self, state::time_point now, random_generator& /*random*/, effect_list& effects)
{
    for (auto& server : self.fleet.servers) {
        if (server.listing == state::host_listing::absent || server.probing)
            continue;
        refillTokens(self, server, now);
        if (server.probeTokens < 1)
            continue;
        server.probeTokens -= 1;
        server.probing = true;
        const auto kind = server.probesSpent++ % 2 == 0 ? probe_kind::health : probe_kind::load;
        ++self.counters.probes;
        effects.emplace_back(probe_server { server.id, server.address, kind });
    }
}

} // namespace acaciaslip::coordination
