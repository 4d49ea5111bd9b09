#pragma once

#include "coordination/gateway/node.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Returns the hosts that keep shared knowledge of a subject, by data centre; this host may be one of them. They are
/// chosen by rendezvous hash: each host chooses the same ones as long as all know the same hosts, and a host that
/// comes or goes changes the choice only for the subjects that it keeps itself.
/// \param subject digest of the subject
[[nodiscard]] std::map<state::data_centre_id, std::vector<state::gateway::peer_ip>> chooseKeepers(
    const gateway_node& self, std::uint64_t subject);

} // namespace acaciaslip::coordination::gateway
