#include "coordination/gateway/server_load.hpp"

namespace acaciaslip::coordination::gateway {

void recordLoadReport(
    gateway_node& self, const state::host_id& server, state::gateway::load_report report, state::time_point now)
{
    auto* const known = findServer(self, server);
    if (known == nullptr)
        return;
    report.receivedAt = now;
    known->report = report;
    known->sentSinceReport = 0;
}

void recordSend(gateway_node& self, const state::host_id& server, state::time_point now)
{
    auto* const known = findServer(self, server);
    if (known == nullptr)
        return;
    ++known->ownInFlight;
    ++known->sentSinceReport;
    if (now < known->coldUntil)
        known->lastColdSendAt = now;
    known->lastSendAt = now;
}

void recordSendFinished(gateway_node& self, const state::host_id& server)
{
    auto* const known = findServer(self, server);
    if (known != nullptr && known->ownInFlight > 0)
        --known->ownInFlight;
}

state::gateway::server_state* findServer(gateway_node& self, const state::host_id& id)
{
    const auto found = self.servers.find(id);
    return found == self.servers.end() ? nullptr : &found->second;
}

} // namespace acaciaslip::coordination::gateway
