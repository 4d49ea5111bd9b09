#include "transport/metrics.hpp"

#include <limits>
#include <map>

#include <prometheus/text_serializer.h>

namespace acaciaslip::transport {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;
using labels = std::vector<ClientMetric::Label>;

constexpr double millisecondsPerSecond = 1000;

MetricFamily makeFamily(const char* name, const char* help, MetricType type)
{
    MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = type;
    return family;
}

void add(MetricFamily& family, labels names, double value)
{
    ClientMetric metric;
    metric.label = std::move(names);
    if (family.type == MetricType::Counter)
        metric.counter.value = value;
    else
        metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
}

MetricFamily makeCounter(const char* name, const char* help, std::uint64_t value)
{
    auto family = makeFamily(name, help, MetricType::Counter);
    add(family, {}, static_cast<double>(value));
    return family;
}

MetricFamily makeGauge(const char* name, const char* help, double value)
{
    auto family = makeFamily(name, help, MetricType::Gauge);
    add(family, {}, value);
    return family;
}

/// One counter for each value of an enumeration, those never counted included.
template <typename Enum, typename Table>
MetricFamily makeCounters(const char* name, const char* help, const char* label,
    const std::map<Enum, std::uint64_t>& counts, const Table& table)
{
    auto family = makeFamily(name, help, MetricType::Counter);
    for (const auto& row : table) {
        const auto found = counts.find(row.value);
        add(family, { { label, std::string(row.name) } },
            found == counts.end() ? 0.0 : static_cast<double>(found->second));
    }
    return family;
}

double ageSeconds(const protocol::node_snapshot& snapshot, state::time_point then)
{
    return state::toMilliseconds(snapshot.takenAt - then) / millisecondsPerSecond;
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
        makeCounter("acaciaslip_peer_messages_taken_total", "Datagrams of peers taken", counters.peerMessagesTaken));
    families.push_back(makeCounter(
        "acaciaslip_peer_messages_dropped_total", "Datagrams of peers dropped", counters.peerMessagesDropped));
    families.push_back(makeCounter("acaciaslip_pauses_total", "Pauses that made the picture suspect", counters.pauses));
}

void addDurations(std::vector<MetricFamily>& families, const coordination::node_counters& counters)
{
    auto family = makeFamily("acaciaslip_request_duration_seconds",
        "Time from the whole request read to its outcome, by verdict", MetricType::Histogram);
    for (const auto& [outcome, histogram] : counters.durationByVerdict) {
        ClientMetric metric;
        metric.label = { { "verdict", std::string(state::findName(state::verdictNames, outcome)) } };
        std::uint64_t count = 0;
        for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
            count += histogram.counts[bucket];
            const double bound = bucket < state::durationBounds.size()
                ? state::toMilliseconds(state::durationBounds[bucket]) / millisecondsPerSecond
                : std::numeric_limits<double>::infinity();
            metric.histogram.bucket.push_back({ count, bound });
        }
        metric.histogram.sample_count = count;
        metric.histogram.sample_sum = state::toMilliseconds(histogram.sum) / millisecondsPerSecond;
        family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
}

void addPhase(std::vector<MetricFamily>& families, const protocol::node_snapshot& snapshot)
{
    auto phase = makeFamily("acaciaslip_phase", "1 for the phase that the node is in", MetricType::Gauge);
    for (const auto& row : coordination::nodePhaseNames)
        add(phase, { { "phase", std::string(row.name) } }, row.value == snapshot.phase ? 1 : 0);
    families.push_back(std::move(phase));
    families.push_back(makeGauge(
        "acaciaslip_picture_suspect", "1 while the picture may be old after a pause", snapshot.suspectSince ? 1 : 0));
    families.push_back(makeGauge("acaciaslip_requests_in_progress", "Requests that callers wait for",
        static_cast<double>(snapshot.requestsInProgress)));
}

void addValues(std::vector<MetricFamily>& families, const protocol::node_snapshot& snapshot)
{
    auto revision = makeFamily("acaciaslip_value_revision", "Revision in force, 0 for none", MetricType::Gauge);
    auto age = makeFamily("acaciaslip_value_age_seconds", "Time since the revision came into force", MetricType::Gauge);
    auto refused = makeFamily("acaciaslip_value_refused", "1 while a newer revision is refused", MetricType::Gauge);
    for (const auto& value : snapshot.values) {
        add(revision, { { "key", value.key } }, static_cast<double>(value.number));
        add(refused, { { "key", value.key } }, value.refused ? 1 : 0);
        if (value.number > 0)
            add(age, { { "key", value.key } }, ageSeconds(snapshot, value.receivedAt));
    }
    families.push_back(std::move(revision));
    families.push_back(std::move(age));
    families.push_back(std::move(refused));
}

void addPeers(std::vector<MetricFamily>& families, const protocol::node_snapshot& snapshot)
{
    constexpr state::duration heardWithin = std::chrono::seconds { 5 };
    double heard = 0;
    for (const auto& peer : snapshot.peers)
        heard += peer.heardAt && snapshot.takenAt - *peer.heardAt <= heardWithin ? 1 : 0;
    families.push_back(
        makeGauge("acaciaslip_peers", "Other entry hosts known", static_cast<double>(snapshot.peers.size())));
    families.push_back(makeGauge("acaciaslip_peers_heard", "Other entry hosts heard in the last 5 seconds", heard));
    families.push_back(makeGauge("acaciaslip_entry_hosts_listed", "Entry hosts in the platform's list",
        static_cast<double>(snapshot.entryHosts)));
}

/// What a server counts as, the strongest reason against new work first.
std::string_view standingOf(const state::server_record& server)
{
    if (server.listing != state::host_listing::live)
        return state::findName(state::hostListingNames, server.listing);
    if (server.dataCentreOut)
        return "data_centre_out";
    return state::findName(state::serverConditionNames, server.condition);
}

/// Sums over the servers of a service.
struct service_sums {
    double probes = 0;
    double probesAllowed = 0;
    double inFlight = 0;
};

void addServers(std::vector<MetricFamily>& families, const protocol::node_snapshot& snapshot)
{
    std::map<state::service_index, service_sums> sums;
    std::map<std::pair<state::service_index, std::string_view>, double> standings;
    for (const auto& server : snapshot.servers) {
        auto& sum = sums[server.record.service];
        sum.probes += static_cast<double>(server.record.probesSpent);
        sum.probesAllowed += server.record.listing == state::host_listing::absent ? 0 : server.probesAllowed;
        sum.inFlight += server.record.ownInFlight;
        ++standings[{ server.record.service, standingOf(server.record) }];
    }
    const auto nameOf = [&](state::service_index index) {
        const auto& name = snapshot.services[index].settings.name;
        return labels { { "team", name.team }, { "service", name.name } };
    };
    auto servers = makeFamily("acaciaslip_servers", "Servers by service and standing", MetricType::Gauge);
    for (const auto& [key, count] : standings) {
        auto names = nameOf(key.first);
        names.push_back({ "standing", std::string(key.second) });
        add(servers, std::move(names), count);
    }
    auto spent = makeFamily("acaciaslip_probes_spent_total", "Probes sent by this node", MetricType::Counter);
    auto allowed = makeFamily(
        "acaciaslip_probes_allowed_per_second", "Probes a second that this node may send", MetricType::Gauge);
    auto flight = makeFamily("acaciaslip_in_flight", "Attempts of this node in progress", MetricType::Gauge);
    for (const auto& [index, sum] : sums) {
        add(spent, nameOf(index), sum.probes);
        add(allowed, nameOf(index), sum.probesAllowed);
        add(flight, nameOf(index), sum.inFlight);
    }
    auto waiting = makeFamily("acaciaslip_waiting", "Requests waiting for a server", MetricType::Gauge);
    for (state::service_index index = 0; index < snapshot.services.size(); ++index)
        add(waiting, nameOf(index), static_cast<double>(snapshot.services[index].waiting));
    for (auto* family : { &servers, &spent, &allowed, &flight, &waiting })
        families.push_back(std::move(*family));
}

} // namespace

std::vector<MetricFamily> makeFamilies(const protocol::node_snapshot& snapshot, const process_gauges& gauges)
{
    std::vector<MetricFamily> families;
    addPhase(families, snapshot);
    addCounters(families, snapshot.counters);
    addDurations(families, snapshot.counters);
    addServers(families, snapshot);
    addValues(families, snapshot);
    addPeers(families, snapshot);
    families.push_back(makeGauge("acaciaslip_events_waiting", "Events in the ring in front of the decision thread",
        static_cast<double>(gauges.eventsWaiting)));
    return families;
}

std::string writeMetrics(const protocol::node_snapshot& snapshot, const process_gauges& gauges)
{
    return prometheus::TextSerializer().Serialize(makeFamilies(snapshot, gauges));
}

} // namespace acaciaslip::transport
