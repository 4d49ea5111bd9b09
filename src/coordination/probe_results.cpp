#include "coordination/probe_results.hpp"

#include "coordination/cold_start.hpp"
#include "coordination/conditions.hpp"
#include "coordination/ejection.hpp"
#include "coordination/membership.hpp"
#include "coordination/node.hpp"

namespace acaciaslip::coordination {

namespace {

constexpr state::duration healthLifetime = std::chrono::seconds { 3 }; ///< maximum age of health shared with peers
constexpr state::duration drainingLifetime = std::chrono::seconds { 10 }; ///< without confirmation

state::server_report& getOrCreateReport(state::server_record& server)
{
    return server.report ? *server.report : server.report.emplace();
}

void updateDraining(const node& self, state::server_record& server, bool draining, state::time_point now)
{
    auto& report = getOrCreateReport(server);
    if (draining)
        report.drainingReportedAt = now;
    report.draining = draining && (report.draining || mayAcceptDrainReport(self, server));
}

void applyHealth(
    node& self, state::server_record& server, reported_health health, state::time_point now, effect_list& effects)
{
    auto& report = getOrCreateReport(server);
    const bool draining = health == reported_health::draining;
    const bool changed = draining != report.reportsDraining;
    const bool turnedCold = health == reported_health::cold && !report.cold;
    report.healthReadAt = now;
    report.reportsDraining = draining;
    report.cold = health == reported_health::cold;
    updateDraining(self, server, draining, now);
    if (turnedCold)
        handleReportedCold(self, server, now, effects);
    if (changed)
        broadcastConditionChange(self, makeConditionChange(server, now), now, effects);
}

/// Applies a reported boot id. An unknown id means that the server has restarted; the previous id comes from a stale
/// report and is ignored.
void applyBootId(
    node& self, state::server_record& server, const std::string& boot, state::time_point now, effect_list& effects)
{
    if (boot.empty() || boot == server.bootId || boot == server.previousBootId)
        return;
    const bool restarted = !server.bootId.empty();
    server.previousBootId = server.bootId;
    server.bootId = boot;
    if (restarted)
        resetToCold(self, server, "restarted", now, effects);
}

void applyLoad(
    node& self, state::server_record& server, const reported_load& load, state::time_point now, effect_list& effects)
{
    auto& report = getOrCreateReport(server);
    report.loadReadAt = now;
    report.inFlight = load.inFlight;
    report.queued = load.queued;
    report.bootId = load.bootId;
    applyBootId(self, server, load.bootId, now, effects);
}

} // namespace

void handleProbeFinished(node& self, const probe_finished& finished, state::time_point now, effect_list& effects)
{
    const auto found = self.fleet.serverIndexes.find(finished.server);
    if (found == self.fleet.serverIndexes.end())
        return;
    auto& server = self.fleet.servers[found->second];
    server.probing.inFlight = false;
    if (!finished.answered)
        return;
    getOrCreateReport(server).receivedAt = now;
    if (finished.health)
        applyHealth(self, server, *finished.health, now, effects);
    if (finished.load)
        applyLoad(self, server, *finished.load, now, effects);
}

void applyPeerHealth(
    const node& self, state::server_record& server, state::observed_health health, state::time_point now)
{
    if (health != state::observed_health::unread)
        updateDraining(self, server, health == state::observed_health::draining, now);
}

state::observed_health recentHealth(const state::server_record& server, state::time_point now) noexcept
{
    if (!server.report || !server.report->healthReadAt || now - *server.report->healthReadAt > healthLifetime)
        return state::observed_health::unread;
    return server.report->reportsDraining ? state::observed_health::draining : state::observed_health::working;
}

void expireDrainingReport(state::server_record& server, state::time_point now) noexcept
{
    if (server.report && server.report->draining && now - server.report->drainingReportedAt > drainingLifetime)
        server.report->draining = false;
}

} // namespace acaciaslip::coordination
