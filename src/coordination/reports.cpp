#include "coordination/reports.hpp"

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
        report.drainingHeardAt = now;
    report.draining = draining && (report.draining || mayBelieveDraining(self, server));
}

void applyHealth(
    node& self, state::server_record& server, reported_health health, state::time_point now, effect_list& effects)
{
    auto& report = getOrCreateReport(server);
    const bool draining = health == reported_health::draining;
    const bool changed = draining != report.saysDraining;
    const bool turnedCold = health == reported_health::cold && !report.cold;
    report.healthAt = now;
    report.saysDraining = draining;
    report.cold = health == reported_health::cold;
    updateDraining(self, server, draining, now);
    if (turnedCold)
        noteReportedCold(self, server, now, effects);
    if (changed)
        tellConditionChange(self, describeCondition(server, now), now, effects);
}

/// Applies a reported boot id. An unknown id means that the server has restarted; the previous id comes from a stale
/// report and is ignored.
void applyBootId(
    node& self, state::server_record& server, const std::string& boot, state::time_point now, effect_list& effects)
{
    if (boot.empty() || boot == server.boot || boot == server.formerBoot)
        return;
    const bool restarted = !server.boot.empty();
    server.formerBoot = server.boot;
    server.boot = boot;
    if (restarted)
        collapse(self, server, "restarted", now, effects);
}

void applyLoad(
    node& self, state::server_record& server, const reported_load& load, state::time_point now, effect_list& effects)
{
    auto& report = getOrCreateReport(server);
    report.loadAt = now;
    report.inFlight = load.inFlight;
    report.queued = load.queued;
    report.boot = load.boot;
    applyBootId(self, server, load.boot, now, effects);
}

} // namespace

void handleProbeFinished(node& self, const probe_finished& finished, state::time_point now, effect_list& effects)
{
    const auto found = self.fleet.serverIndexes.find(finished.server);
    if (found == self.fleet.serverIndexes.end())
        return;
    auto& server = self.fleet.servers[found->second];
    server.probes.running = false;
    if (!finished.answered)
        return;
    getOrCreateReport(server).heardAt = now;
    if (finished.health)
        applyHealth(self, server, *finished.health, now, effects);
    if (finished.load)
        applyLoad(self, server, *finished.load, now, effects);
}

void noteToldHealth(const node& self, state::server_record& server, state::told_health health, state::time_point now)
{
    if (health != state::told_health::unread)
        updateDraining(self, server, health == state::told_health::draining, now);
}

state::told_health describeHealth(const state::server_record& server, state::time_point now) noexcept
{
    if (!server.report || !server.report->healthAt || now - *server.report->healthAt > healthLifetime)
        return state::told_health::unread;
    return server.report->saysDraining ? state::told_health::draining : state::told_health::working;
}

void reviewReport(state::server_record& server, state::time_point now) noexcept
{
    if (server.report && server.report->draining && now - server.report->drainingHeardAt > drainingLifetime)
        server.report->draining = false;
}

} // namespace acaciaslip::coordination
