#include "transport/loop/gateway_metrics.hpp"

#include "transport/metric_families.hpp"

#include <prometheus/text_serializer.h>

namespace acaciaslip::transport::loop {

namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

void addRequests(std::vector<MetricFamily>& families, const coordination::gateway::node_counters& counters)
{
    families.push_back(makeCounters("acaciaslip_requests_total", "Requests finished, by verdict", "verdict",
        counters.requestsByVerdict, state::verdictNames));
    families.push_back(makeHistograms("acaciaslip_request_duration_seconds",
        "Time from reading a complete request to its outcome, by verdict", "verdict", counters.durationByVerdict,
        state::verdictNames));
    families.push_back(
        makeCounters("acaciaslip_refusals_total", "Requests refused without a server's answer, by reason", "reason",
            counters.refusals, state::refusalReasonNames));
    families.push_back(makeCounters("acaciaslip_attempts_total", "Attempts finished, by outcome", "outcome",
        counters.attemptsByOutcome, state::attemptOutcomeNames));
    families.push_back(makeCounters("acaciaslip_load_questions_total", "Load probes finished, by outcome", "outcome",
        counters.asksByOutcome, coordination::gateway::askOutcomeNames));
    families.push_back(
        makeCounter("acaciaslip_retries_total", "Attempts sent after a failed first attempt", counters.retries));
    families.push_back(
        makeCounter("acaciaslip_hedges_total", "Attempts sent in parallel to a slow first attempt", counters.hedges));
    families.push_back(makeCounter(
        "acaciaslip_repeats_denied_total", "Retries and hedges denied by the retry budget", counters.repeatsDenied));
    families.push_back(makeCounter(
        "acaciaslip_callers_gone_total", "Callers that disconnected before their answer", counters.callersGone));
}

void addFleet(
    std::vector<MetricFamily>& families, const coordination::gateway::gateway_node& node, state::time_point now)
{
    auto servers = makeFamily("acaciaslip_servers", "Registered servers by service", MetricType::Gauge);
    for (const auto& [name, service] : node.services)
        addMetric(servers, { { "service", name } }, static_cast<double>(service.members.size()));
    families.push_back(std::move(servers));
    families.push_back(makeGauge("acaciaslip_configuration_version",
        "Version of the configuration in use, 0 if there is none", node.config ? node.config->version : 0));
    families.push_back(makeGauge("acaciaslip_fleet_revision", "Revision of the published fleet known to this node",
        static_cast<double>(node.published.asOf)));
    const double unavailableSeconds
        = node.storeLostAt ? std::chrono::duration<double>(now - *node.storeLostAt).count() : 0;
    families.push_back(makeGauge("acaciaslip_store_away_seconds",
        "Time since the store became unavailable, 0 while it is available", unavailableSeconds));
    families.push_back(
        makeCounter("acaciaslip_store_losses_total", "Times the store became unavailable", node.counters.storeLosses));
    families.push_back(makeGauge("acaciaslip_hosts", "Entry hosts that share the budgets", node.share.hosts));
    families.push_back(
        makeGauge("acaciaslip_requests_in_progress", "Requests in flight", static_cast<double>(node.requests.size())));
    auto phase
        = makeFamily("acaciaslip_phase", "1 for the current phase of the node, 0 for the others", MetricType::Gauge);
    for (const auto& row : coordination::gateway::nodePhaseNames)
        addMetric(phase, { { "phase", std::string(row.name) } }, row.value == node.phase ? 1 : 0);
    families.push_back(std::move(phase));
}

} // namespace

std::string writeGatewayMetrics(
    const coordination::gateway::gateway_node& node, const loop_gauges& gauges, state::time_point now)
{
    std::vector<MetricFamily> families;
    addRequests(families, node.counters);
    addFleet(families, node, now);
    families.push_back(
        makeCounter("acaciaslip_connections_opened_total", "Connections opened to servers", gauges.connectionsOpened));
    families.push_back(makeCounter("acaciaslip_log_lines_dropped_total",
        "Log lines dropped because the reader was too slow or the rate limit was reached", gauges.logLinesDropped));
    families.push_back(makeCounter("acaciaslip_store_calls_total", "Calls to the store", gauges.storeCalls));
    families.push_back(makeGauge(
        "acaciaslip_peers", "Other entry hosts with a recent heartbeat", static_cast<double>(node.peers.size())));
    families.push_back(makeCounter("acaciaslip_datagrams_refused_total",
        "Datagrams and fetched deltas that could not be decoded", gauges.datagramsRefused));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace acaciaslip::transport::loop
