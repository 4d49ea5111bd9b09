#include "coordination/gateway/peer_log.hpp"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr std::size_t maxLostPeersLogged = 4; ///< in one step

/// Lists the data centres in order, such as "dc-a:5,dc-b:4".
std::string describeCounts(const gateway_node& self)
{
    std::map<state::data_centre_id, std::size_t> counts;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.leaving)
            ++counts[peer.dataCentre];
    }
    std::string described;
    for (const auto& [dataCentre, count] : counts)
        described += fmt::format("{}{}:{}", described.empty() ? "" : ",", dataCentre, count);
    return described;
}

} // namespace

void logPeerCounts(gateway_node& self, effect_list& effects)
{
    auto counts = describeCounts(self);
    if (counts == self.membership.loggedCounts)
        return;
    effects.emplace_back(log_event { log_level::info, "peers",
        { { "data_centres", counts }, { "hosts", std::to_string(self.share.hosts) },
            { "revision", std::to_string(self.published.asOf) } } });
    self.membership.loggedCounts = std::move(counts);
}

void logLostPeers(
    const std::vector<std::pair<state::gateway::peer_ip, state::data_centre_id>>& lost, effect_list& effects)
{
    for (std::size_t index = 0; index < std::min(lost.size(), maxLostPeersLogged); ++index)
        effects.emplace_back(log_event { log_level::info, "peer",
            { { "ip", lost[index].first }, { "what", "silent" }, { "data_centre", lost[index].second } } });
    if (lost.size() > maxLostPeersLogged)
        effects.emplace_back(log_event { log_level::info, "peers_left_out",
            { { "what", "silent" }, { "count", std::to_string(lost.size() - maxLostPeersLogged) } } });
}

} // namespace acaciaslip::coordination::gateway
