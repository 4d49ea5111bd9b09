#include "coordination/gateway/keepers.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr std::size_t keepersPerDataCentre = 2; ///< so that one may be lost

} // namespace

std::map<state::data_centre_id, std::vector<state::gateway::peer_ip>> chooseKeepers(
    const gateway_node& self, std::uint64_t subject)
{
    std::map<state::data_centre_id, std::vector<std::pair<std::uint64_t, state::gateway::peer_ip>>> ranked;
    const auto add = [&](const state::data_centre_id& dataCentre, const state::gateway::peer_ip& ip) {
        ranked[dataCentre].emplace_back(XXH3_64bits_withSeed(ip.data(), ip.size(), subject), ip);
    };
    add(self.settings.dataCentre, self.settings.ip);
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.leaving)
            add(peer.dataCentre, ip);
    }
    std::map<state::data_centre_id, std::vector<state::gateway::peer_ip>> keepers;
    for (auto& [dataCentre, hosts] : ranked) {
        const auto count = std::min(keepersPerDataCentre, hosts.size());
        std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(count), hosts.end());
        for (std::size_t index = 0; index < count; ++index)
            keepers[dataCentre].push_back(hosts[index].second);
    }
    return keepers;
}

} // namespace acaciaslip::coordination::gateway
