#include "coordination/permits.hpp"

#include "coordination/node.hpp"

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

std::uint64_t weigh(const state::host_id& server, const state::host_id& host)
{
    return XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(server.data(), server.size()));
}

} // namespace

std::uint32_t coldAllowance(const node& self, const state::server_record& server, state::time_point /*now*/)
{
    const auto& hosts = self.fleet.entryHosts;
    if (hosts.empty())
        return server.limit;
    const auto own = weigh(server.id, self.settings.id);
    std::uint32_t rank = 0;
    for (const auto& host : hosts)
        rank += host != self.settings.id && weigh(server.id, host) > own ? 1 : 0;
    const auto count = static_cast<std::uint32_t>(hosts.size());
    return server.limit / count + (rank < server.limit % count ? 1 : 0);
}

} // namespace acaciaslip::coordination
