#include "protocol/gateway_dump.hpp"

#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/request_log.hpp"
#include "coordination/gateway/server_back_off.hpp"
#include "coordination/gateway/server_health.hpp"

namespace acaciaslip::protocol {

namespace {

using nlohmann::json;

double milliseconds(state::duration interval)
{
    return state::toMilliseconds(interval);
}

json describeServer(const state::gateway::server_state& server, state::time_point now)
{
    json described { { "id", server.entry.id }, { "service", server.entry.service },
        { "address", server.entry.address }, { "data_centre", server.entry.dataCentre },
        { "slots", server.entry.slots }, { "draining", server.entry.draining }, { "evacuated", server.evacuated },
        { "revision", server.revisionNumber }, { "own_running", server.ownInFlight },
        { "slowness", coordination::gateway::currentSlowdown(server, now) },
        { "failure_share", coordination::gateway::currentFailureRate(server, now) } };
    if (now < server.coldUntil)
        described["cold_for_ms"] = milliseconds(server.coldUntil - now);
    if (server.ejectedUntil && now < *server.ejectedUntil)
        described["avoided_for_ms"] = milliseconds(*server.ejectedUntil - now);
    if (coordination::gateway::isBackingOff(server, now))
        described["back_off_for_ms"] = milliseconds(*server.backOffUntil - now);
    if (server.leavingUntil)
        described["leaving"] = true;
    if (server.limitPerSecond)
        described["limit_per_second"] = *server.limitPerSecond;
    if (server.removeAt)
        described["unregistered"] = true;
    if (server.report)
        described["report"] = { { "running", server.report->inFlight }, { "waiting", server.report->queued },
            { "slots", server.report->slots }, { "slowdown", server.report->slowdown },
            { "age_ms", milliseconds(now - server.report->receivedAt) } };
    return described;
}

json describeSuspect(const coordination::gateway::crash_suspect& suspect)
{
    json servers = json::array();
    for (const auto& crash : suspect.report.crashes)
        servers.push_back(crash.server);
    return { { "digest", coordination::gateway::describeDigest(suspect.report.request) }, { "ended_servers", servers },
        { "scope", state::findName(state::gateway::digestScopeNames, suspect.report.scope) },
        { "refused", suspect.refusedFrom.has_value() } };
}

json describeTrials(const state::gateway::service_time_trials& trials, state::time_point now)
{
    json described { { "in_flight", trials.inFlight.size() }, { "limit", trials.limit } };
    if (trials.pausedUntil && now < *trials.pausedUntil)
        described["paused_for_ms"] = milliseconds(*trials.pausedUntil - now);
    return described;
}

json describeServiceTime(const std::string& service, state::duration objective,
    const state::gateway::service_time& known, state::time_point now)
{
    json described { { "service", service }, { "objective_ms", milliseconds(objective) },
        { "trials", describeTrials(known.trials, now) } };
    if (known.typical)
        described["service_time_ms"] = milliseconds(*known.typical);
    return described;
}

json describeClass(const std::string& service, const state::gateway::request_class& known, state::time_point now)
{
    return { { "service", service }, { "priority", known.priority }, { "objective_ms", milliseconds(known.objective) },
        { "service_time_ms", milliseconds(coordination::gateway::typicalServiceTime(known)) },
        { "trials", describeTrials(known.trials, now) }, { "responses", known.responses },
        { "arrivals_per_second", coordination::gateway::arrivalsPerSecond(known, now) },
        { "recent_served", known.recentServed }, { "recent_refused", known.recentRefused },
        { "fleet_demand_slots", known.fleetDemand } };
}

/// What this host knows of a team's allowance: as a keeper, and from its keepers' notices.
json describeAllowance(const coordination::gateway::allowance_state& allowances, state::gateway::team_digest digest,
    const state::gateway::team& team, state::time_point now)
{
    json described { { "team", team.name }, { "rate_per_s", team.ratePerSecond }, { "burst", team.burst } };
    if (const auto used = allowances.uses.find(digest); used != allowances.uses.end()) {
        const auto& use = used->second;
        described["admitted_here"] = use.admitted;
        described["refused_here"] = use.refused;
        described["keepers"] = use.keepers.own;
        if (use.notice)
            described["notice"] = { { "ratio", use.notice->ratio }, { "keeper", use.notice->keeper },
                { "age_ms", milliseconds(now - use.notice->renewedAt) } };
    }
    if (const auto found = allowances.kept.find(digest); found != allowances.kept.end()) {
        const auto& kept = found->second.allowance;
        described["kept"] = { { "level", kept.level }, { "ratio", kept.ratio }, { "admitted", kept.admitted },
            { "refused", kept.refused }, { "known_for_ms", milliseconds(now - kept.startedAt) },
            { "demand_per_s", coordination::gateway::currentDemand(kept, now) }, { "silent", json::array() } };
        for (const auto& [dataCentre, remote] : kept.remotes) {
            if (remote.silent)
                described["kept"]["silent"].push_back(dataCentre);
        }
    }
    return described;
}

json describeRoute(const state::gateway::route& route)
{
    json parts = json::array();
    for (const auto& part : route.split)
        parts.push_back({ { "service", part.service }, { "weight", part.weight } });
    return { { "name", route.name }, { "host", route.host }, { "path_prefix", route.pathPrefix },
        { "kind", state::findName(state::gateway::requestKindNames, route.kind) },
        { "objective_ms", milliseconds(route.objective) }, { "timeout_ms", milliseconds(route.timeout) },
        { "attempts", route.attempts }, { "priority", route.priority }, { "split", parts },
        { "anonymous", route.anonymous } };
}

/// Describes a team without its keys.
json describeTeam(const state::gateway::team& team)
{
    json described { { "name", team.name }, { "keys", team.keys.size() } };
    if (team.priority)
        described["priority"] = *team.priority;
    if (team.ratePerSecond > 0) {
        described["rate_per_second"] = team.ratePerSecond;
        described["burst"] = team.burst;
    }
    return described;
}

} // namespace

json gatewayToJson(const coordination::gateway::gateway_node& node, state::time_point now)
{
    json described { { "id", node.settings.id }, { "data_centre", node.settings.dataCentre },
        { "phase", state::findName(coordination::gateway::nodePhaseNames, node.phase) },
        { "revision", node.published.asOf }, { "hosts", node.share.hosts }, { "rank", node.share.rank },
        { "requests_in_progress", node.requests.size() }, { "servers", json::array() }, { "routes", json::array() },
        { "evacuations", json::array() } };
    described["configuration_version"] = node.config ? node.config->version : 0;
    if (node.storeLostAt)
        described["store_lost_for_ms"] = milliseconds(now - *node.storeLostAt);
    if (node.settings.limits.strictRevoke && node.storeNewsAt)
        described["store_news_age_ms"] = milliseconds(now - *node.storeNewsAt);
    for (const auto& [id, server] : node.servers)
        described["servers"].push_back(describeServer(server, now));
    for (const auto& [name, activity] : node.services) {
        for (const auto& known : activity.classes)
            described["classes"].push_back(describeClass(name, known, now));
        for (const auto& [objective, known] : activity.serviceTimes)
            described["service_times"].push_back(describeServiceTime(name, objective, known, now));
    }
    for (const auto& [request, suspect] : node.suspects)
        described["crash_suspects"].push_back(describeSuspect(suspect));
    for (const auto& [digest, known] : node.allowances.teams)
        described["allowances"].push_back(describeAllowance(node.allowances, digest, *known.team, now));
    if (node.config) {
        for (const auto& route : node.config->routes)
            described["routes"].push_back(describeRoute(route));
        for (const auto& team : node.config->teams)
            described["teams"].push_back(describeTeam(team));
        described["configuration_age_ms"] = milliseconds(now - node.configAppliedAt);
    }
    for (const auto& [dataCentre, item] : node.published.evacuations) {
        if (item.value)
            described["evacuations"].push_back(dataCentre);
    }
    return described;
}

std::string writeGatewayDump(
    const coordination::gateway::gateway_node& node, const coordination::memory_budget& memory, state::time_point now)
{
    auto described = gatewayToJson(node, now);
    described["messages"] = { { "bytes", memory.heldBytes }, { "peak_bytes", memory.peakBytes },
        { "limit_bytes", memory.limitBytes }, { "without_memory", memory.rejections } };
    return described.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace acaciaslip::protocol
