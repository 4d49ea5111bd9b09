#include "transport/loop/gateway_metrics.hpp"

#include "coordination/gateway/server_back_off.hpp"
#include "transport/metric_families.hpp"

#include <algorithm>

#include <prometheus/text_serializer.h>

namespace acaciaslip::transport::loop {

namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

void addRequests(std::vector<MetricFamily>& families, const coordination::gateway::node_counters& counters)
{
    families.push_back(makeCounters("acaciaslip_requests_total", "Requests ended, by verdict", "verdict",
        counters.requestsByVerdict, state::verdictNames));
    families.push_back(makeHistograms("acaciaslip_request_duration_seconds",
        "Time from the whole request read to its outcome, by verdict", "verdict", counters.durationByVerdict,
        state::verdictNames));
    families.push_back(makeCounters("acaciaslip_refusals_total", "Requests not given a server's answer, by reason",
        "reason", counters.refusals, state::refusalReasonNames));
    families.push_back(makeCounters("acaciaslip_attempts_total", "Attempts ended, by outcome", "outcome",
        counters.attemptsByOutcome, state::attemptOutcomeNames));
    families.push_back(makeCounters("acaciaslip_load_questions_total", "Questions about load ended, by outcome",
        "outcome", counters.probesByOutcome, coordination::gateway::probeOutcomeNames));
    families.push_back(makeCounter("acaciaslip_retries_total", "Sends after a failed first one", counters.retries));
    families.push_back(makeCounter("acaciaslip_hedges_total", "Sends beside a slow first one", counters.hedges));
    families.push_back(
        makeCounter("acaciaslip_repeats_denied_total", "Repeats that the budget denied", counters.retriesDenied));
    families.push_back(makeCounters("acaciaslip_service_time_trials_total",
        "Requests sent although they appeared to be late, by outcome", "outcome", counters.serviceTimeTrials,
        coordination::gateway::trialOutcomeNames));
    families.push_back(
        makeCounter("acaciaslip_callers_gone_total", "Callers that left early", counters.callersDisconnected));
}

void addFleet(
    std::vector<MetricFamily>& families, const coordination::gateway::gateway_node& node, state::time_point now)
{
    auto servers = makeFamily("acaciaslip_servers", "Registered servers by service", MetricType::Gauge);
    for (const auto& [name, service] : node.services)
        addMetric(servers, { { "service", name } }, static_cast<double>(service.members.size()));
    families.push_back(std::move(servers));
    const auto limited = std::count_if(node.servers.begin(), node.servers.end(),
        [](const auto& entry) { return entry.second.limitPerSecond.has_value(); });
    families.push_back(makeGauge(
        "acaciaslip_limited_servers", "Servers that name a limit on their requests", static_cast<double>(limited)));
    families.push_back(makeCounter("acaciaslip_server_crashes_total",
        "Servers that ended while they ran requests of this host", node.counters.serverCrashes));
    const auto lethal = std::count_if(node.suspects.begin(), node.suspects.end(),
        [](const auto& entry) { return entry.second.refusedFrom.has_value(); });
    families.push_back(makeGauge("acaciaslip_lethal_requests",
        "Distinct requests that are refused because they end servers", static_cast<double>(lethal)));
    families.push_back(makeGauge("acaciaslip_crash_suspects", "Distinct requests during which servers have ended",
        static_cast<double>(node.suspects.size())));
    const auto leaving = std::count_if(node.servers.begin(), node.servers.end(),
        [](const auto& entry) { return entry.second.leavingUntil.has_value(); });
    families.push_back(makeGauge(
        "acaciaslip_leaving_servers", "Servers that say that they are shutting down", static_cast<double>(leaving)));
    const auto backingOff = std::count_if(node.servers.begin(), node.servers.end(),
        [&](const auto& entry) { return coordination::gateway::isBackingOff(entry.second, now); });
    families.push_back(makeGauge("acaciaslip_back_off_servers", "Servers that have asked this host for no requests now",
        static_cast<double>(backingOff)));
    families.push_back(makeCounter("acaciaslip_back_offs_total",
        "Refusals of servers that name a time without requests", node.counters.backOffsNamed));
    families.push_back(makeCounter("acaciaslip_back_offs_unreadable_total",
        "Likewise, with a time that is malformed or out of range", node.counters.backOffsUnreadable));
    families.push_back(makeGauge(
        "acaciaslip_configuration_version", "Version in force, 0 for none", node.config ? node.config->version : 0));
    families.push_back(makeGauge("acaciaslip_teams", "Teams of the configuration in force",
        static_cast<double>(node.config ? node.config->teams.size() : 0)));
    families.push_back(
        makeGauge("acaciaslip_team_keys", "Keys of these teams", static_cast<double>(node.teamKeys.byKey.size())));
    if (node.settings.limits.strictRevoke && node.storeNewsAt)
        families.push_back(makeGauge("acaciaslip_store_news_age_seconds",
            "Time since the store was last known to have nothing newer, directly or through peers",
            std::chrono::duration<double>(now - *node.storeNewsAt).count()));
    families.push_back(makeGauge("acaciaslip_fleet_revision", "Revision up to which the published fleet is known",
        static_cast<double>(node.published.asOf)));
    const double unavailableSeconds
        = node.storeLostAt ? std::chrono::duration<double>(now - *node.storeLostAt).count() : 0;
    families.push_back(
        makeGauge("acaciaslip_store_away_seconds", "Time without the store, 0 while it answers", unavailableSeconds));
    families.push_back(
        makeCounter("acaciaslip_store_losses_total", "Times the store was lost", node.counters.storeLosses));
    families.push_back(makeCounter("acaciaslip_store_restorations_total", "Times the store was restored from a copy",
        node.counters.storeRestorations));
    families.push_back(makeCounter("acaciaslip_store_searches_total",
        "Times this host asked the store because it answered no watcher", node.counters.storeSearches));
    families.push_back(
        makeCounters("acaciaslip_fleet_fetches_total", "Fetches of changes from other entry hosts, by outcome",
            "outcome", node.counters.fetchesByOutcome, coordination::gateway::fetchOutcomeNames));
    families.push_back(makeCounter(
        "acaciaslip_fleet_fetched_bytes_total", "Bytes received in these fetches", node.counters.fetchedBytes));
    families.push_back(makeCounter(
        "acaciaslip_fleet_transfers_total", "Large answers to other entry hosts", node.counters.fetchesServed));
    families.push_back(makeCounter("acaciaslip_fleet_redirections_total",
        "Entry hosts that were told to fetch from a third one", node.counters.fetchesRedirected));
    families.push_back(makeGauge("acaciaslip_hosts", "Entry hosts that share the budgets", node.share.hosts));
    families.push_back(makeGauge("acaciaslip_requests_in_progress", "Requests that callers wait for",
        static_cast<double>(node.requests.size())));
    auto phase = makeFamily("acaciaslip_phase", "1 for the phase that the node is in", MetricType::Gauge);
    for (const auto& row : coordination::gateway::nodePhaseNames)
        addMetric(phase, { { "phase", std::string(row.name) } }, row.value == node.phase ? 1 : 0);
    families.push_back(std::move(phase));
}

} // namespace

std::string writeGatewayMetrics(
    const coordination::gateway::gateway_node& node, const gateway_process_gauges& gauges, state::time_point now)
{
    std::vector<MetricFamily> families;
    addRequests(families, node.counters);
    addFleet(families, node, now);
    families.push_back(
        makeCounter("acaciaslip_connections_opened_total", "Connections opened to servers", gauges.connectionsOpened));
    families.push_back(makeCounter(
        "acaciaslip_log_lines_dropped_total", "Log lines that nobody read in time", gauges.logLinesDropped));
    families.push_back(makeCounter("acaciaslip_store_calls_total", "Calls to the store", gauges.storeCalls));
    families.push_back(makeCounter("acaciaslip_store_useless_answers_total",
        "Watches of the store answered early with nothing new", gauges.storeUselessAnswers));
    families.push_back(
        makeGauge("acaciaslip_peers", "Other entry hosts heard of lately", static_cast<double>(node.peers.size())));
    addMessageMemory(families, gauges.memory);
    families.push_back(
        makeCounter("acaciaslip_datagrams_refused_total", "Datagrams that are no heartbeat", gauges.datagramsRejected));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace acaciaslip::transport::loop
