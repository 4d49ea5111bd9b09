#pragma once

#include "coordination/gateway/crash_suspects.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: several servers end at once. Either copies of one request have ended them, or they have ended for another
/// reason, as when a data centre loses power, and the copies happened to run there. Copies have ended them only if this
/// request is what these servers have in common. It is not if another request ran on all of them too, or if further
/// servers ended at that time that no request with several copies explains.

/// A server that ended, whatever it ran. Fleet time.
struct ended_server {
    state::host_id server;
    state::time_point endedAt;
};

/// Servers that ended lately, oldest first, as far as this host knows. Unlike suspects, they are not forgotten when a
/// request that they ran is answered elsewhere.
using ended_servers = std::deque<ended_server>;

/// Records the end of a server; a known one is ignored.
void recordEnd(ended_servers& ended, const state::gateway::server_crash& crash);

/// Marks crashes of copies that ran at the same time as shared if the request is not what their servers have in common.
/// \return the suspects of which crashes were marked
std::vector<state::gateway::request_digest> markSharedCrashes(suspect_table& suspects, const ended_servers& ended);

} // namespace acaciaslip::coordination::gateway
