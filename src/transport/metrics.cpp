#include "transport/metrics.hpp"

#include "transport/metric_families.hpp"

#include <map>

#include <prometheus/text_serializer.h>

namespace acaciaslip::transport {

namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double millisecondsPerSecond = 1000;

double ageSeconds(const protocol::node_snapshot& snapshot, state::time_point then)
{
    return state::toMilliseconds(snapshot.copiedAt - then) / millisecondsPerSecond;
}

void addCounters(std::vector<MetricFamily>& families, const coordination::node_counters& counters)
{
    families.push_back(makeCounters("acaciaslip_requests_total", "Requests ended, by verdict", "verdict",
        counters.requestsByVerdict, state::verdictNames));
    families.push_back(makeCounters("acaciaslip_refusals_total", "Requests not given a server's answer, by reason",
        "reason", counters.refusals, state::refusalReasonNames));
    families.push_back(makeCounters("acaciaslip_attempts_total", "Attempts ended, by outcome", "outcome",
        counters.attemptsByOutcome, state::attemptOutcomeNames));
    families.push_back(makeCounter("acaciaslip_retries_total", "Attempts after the first", counters.retries));
    families.push_back(makeCounter("acaciaslip_hedges_total", "Second attempts beside a slow first", counters.hedges));
    families.push_back(makeCounter("acaciaslip_probes_total", "Health and load reads sent", counters.probes));
    families.push_back(
        makeCounter("acaciaslip_platform_reads_total", "Reads of the platform's values", counters.platformReads));
    families.push_back(
        makeCounter("acaciaslip_peer_messages_sent_total", "Datagrams sent to peers", counters.peerMessagesSent));
    families.push_back(
        makeCounter("acaciaslip_peer_messages_taken_total", "Datagrams of peers taken", counters.peerMessagesAccepted));
    families.push_back(makeCounter(
        "acaciaslip_peer_messages_dropped_total", "Datagrams of peers dropped", counters.peerMessagesDropped));
    families.push_back(makeCounter(
        "acaciaslip_control_sent_bytes_total", "Datagrams to peers, headers included", counters.controlBytesSent));
    families.push_back(makeCounter("acaciaslip_control_received_bytes_total", "Datagrams of peers, headers included",
        counters.controlBytesReceived));
    families.push_back(makeCounter("acaciaslip_value_received_bytes_total",
        "Texts of published values read from peers and the platform", counters.valueBytesReceived));
    families.push_back(makeCounter(
        "acaciaslip_value_served_bytes_total", "Texts of published values given to peers", counters.valueBytesServed));
    families.push_back(
        makeCounter("acaciaslip_peer_reads_total", "Reads of published values from peers", counters.peerReads));
    families.push_back(
        makeCounter("acaciaslip_pauses_total", "Pauses that made the picture suspect", counters.processPauses));
}

void addPhase(std::vector<MetricFamily>& families, const protocol::node_snapshot& snapshot)
{
    auto phase = makeFamily("acaciaslip_phase", "1 for the phase that the node is in", MetricType::Gauge);
    for (const auto& row : coordination::nodePhaseNames)
        addMetric(phase, { { "phase", std::string(row.name) } }, row.value == snapshot.phase ? 1 : 0);
    families.push_back(std::move(phase));
    families.push_back(makeGauge(
        "acaciaslip_picture_suspect", "1 while the picture may be old after a pause", snapshot.staleSince ? 1 : 0));
    families.push_back(makeGauge("acaciaslip_requests_in_progress", "Requests that callers wait for",
        static_cast<double>(snapshot.requestsInProgress)));
}

void addValues(std::vector<MetricFamily>& families, const protocol::node_snapshot& snapshot)
{
    auto revision = makeFamily("acaciaslip_value_revision", "Revision in force, 0 for none", MetricType::Gauge);
    auto age = makeFamily("acaciaslip_value_age_seconds", "Time since the revision came into force", MetricType::Gauge);
    auto refused = makeFamily("acaciaslip_value_refused", "1 while a newer revision is refused", MetricType::Gauge);
    for (const auto& value : snapshot.values) {
        addMetric(revision, { { "key", value.key } }, static_cast<double>(value.number));
        addMetric(refused, { { "key", value.key } }, value.rejected ? 1 : 0);
        if (value.number > 0)
            addMetric(age, { { "key", value.key } }, ageSeconds(snapshot, value.receivedAt));
    }
    families.push_back(std::move(revision));
    families.push_back(std::move(age));
    families.push_back(std::move(refused));
}

void addPeers(std::vector<MetricFamily>& families, const protocol::node_snapshot& snapshot)
{
    constexpr state::duration recentWindow = std::chrono::seconds { 5 };
    double recentPeers = 0;
    for (const auto& peer : snapshot.peers)
        recentPeers += peer.receivedAt && snapshot.copiedAt - *peer.receivedAt <= recentWindow ? 1 : 0;
    families.push_back(
        makeGauge("acaciaslip_peers", "Other entry hosts known", static_cast<double>(snapshot.peers.size())));
    families.push_back(
        makeGauge("acaciaslip_peers_heard", "Other entry hosts heard in the last 5 seconds", recentPeers));
    families.push_back(makeGauge("acaciaslip_entry_hosts_listed", "Entry hosts in the platform's list",
        static_cast<double>(snapshot.entryHosts)));
}

/// Returns a server's state as one word: its listing unless that is live, else its evacuation, else its condition.
std::string_view findStanding(const state::server_record& server)
{
    if (server.listing != state::host_listing::live)
        return state::findName(state::hostListingNames, server.listing);
    if (server.dataCentreEvacuated)
        return "data_centre_out";
    return state::findName(state::serverConditionNames, server.condition);
}

/// Totals over the servers of a service.
struct service_sums {
    double probes = 0;
    double probesPerSecond = 0;
    double inFlight = 0;
};

void addServers(std::vector<MetricFamily>& families, const protocol::node_snapshot& snapshot)
{
    std::map<state::service_index, service_sums> sums;
    std::map<std::pair<state::service_index, std::string_view>, double> standings;
    for (const auto& server : snapshot.servers) {
        auto& sum = sums[server.record.service];
        sum.probes += static_cast<double>(server.record.probesSpent);
        sum.probesPerSecond += server.record.listing == state::host_listing::absent ? 0 : server.probesPerSecond;
        sum.inFlight += server.record.ownInFlight;
        ++standings[{ server.record.service, findStanding(server.record) }];
    }
    const auto labelsOf = [&](state::service_index index) {
        const auto& name = snapshot.services[index].settings.name;
        return metric_labels { { "team", name.team }, { "service", name.name } };
    };
    auto servers = makeFamily("acaciaslip_servers", "Servers by service and standing", MetricType::Gauge);
    for (const auto& [key, count] : standings) {
        auto labels = labelsOf(key.first);
        labels.push_back({ "standing", std::string(key.second) });
        addMetric(servers, std::move(labels), count);
    }
    auto spent = makeFamily("acaciaslip_probes_spent_total", "Probes sent by this node", MetricType::Counter);
    auto allowed = makeFamily(
        "acaciaslip_probes_allowed_per_second", "Probes a second that this node may send", MetricType::Gauge);
    auto attempts = makeFamily("acaciaslip_in_flight", "Attempts of this node in progress", MetricType::Gauge);
    for (const auto& [index, sum] : sums) {
        addMetric(spent, labelsOf(index), sum.probes);
        addMetric(allowed, labelsOf(index), sum.probesPerSecond);
        addMetric(attempts, labelsOf(index), sum.inFlight);
    }
    auto waiting = makeFamily("acaciaslip_waiting", "Requests waiting for a server", MetricType::Gauge);
    for (state::service_index index = 0; index < snapshot.services.size(); ++index)
        addMetric(waiting, labelsOf(index), static_cast<double>(snapshot.services[index].waiting));
    for (auto* family : { &servers, &spent, &allowed, &attempts, &waiting })
        families.push_back(std::move(*family));
}

} // namespace

std::vector<MetricFamily> makeFamilies(const protocol::node_snapshot& snapshot, const process_gauges& gauges)
{
    std::vector<MetricFamily> families;
    addPhase(families, snapshot);
    addCounters(families, snapshot.counters);
    families.push_back(makeHistograms("acaciaslip_request_duration_seconds",
        "Time from the whole request read to its outcome, by verdict", "verdict", snapshot.counters.durationByVerdict,
        state::verdictNames));
    addServers(families, snapshot);
    addValues(families, snapshot);
    addPeers(families, snapshot);
    families.push_back(makeCounter(
        "acaciaslip_log_lines_dropped_total", "Log lines that nobody read in time", gauges.logLinesDropped));
    addMessageMemory(families, gauges.memory);
    return families;
}

std::string writeMetrics(const protocol::node_snapshot& snapshot, const process_gauges& gauges)
{
    return prometheus::TextSerializer().Serialize(makeFamilies(snapshot, gauges));
}

} // namespace acaciaslip::transport
