#include "protocol/dump.hpp"

#include <algorithm>

namespace acaciaslip::protocol {

namespace {

using nlohmann::json;

double ageOf(const node_snapshot& snapshot, state::time_point then)
{
    return state::toMilliseconds(snapshot.copiedAt - then);
}

json ageOf(const node_snapshot& snapshot, const std::optional<state::time_point>& then)
{
    return then ? json(ageOf(snapshot, *then)) : json(nullptr);
}

json latencyOf(const state::server_record& record)
{
    if (record.load.latency <= state::duration::zero())
        return nullptr;
    return state::toMilliseconds(record.load.latency);
}

std::optional<state::time_point> oldestStart(const state::server_record& record)
{
    if (record.load.inFlightSince.empty())
        return std::nullopt;
    return record.load.inFlightSince.front();
}

/// Returns null for a server whose condition has not changed since the server was first listed.
json conditionAge(const node_snapshot& snapshot, const state::server_record& record)
{
    if (record.conditionSince == state::time_point {})
        return nullptr;
    return ageOf(snapshot, record.conditionSince);
}

/// Returns the milliseconds until a time, or 0 if it has passed.
double millisecondsUntil(const node_snapshot& snapshot, state::time_point then)
{
    return std::max(0.0, state::toMilliseconds(then - snapshot.copiedAt));
}

json describeReport(const node_snapshot& snapshot, const std::optional<state::server_report>& report)
{
    if (!report)
        return nullptr;
    return { { "draining", report->draining }, { "says_draining", report->reportsDraining }, { "cold", report->cold },
        { "in_flight", report->inFlight }, { "queued", report->queued }, { "boot", report->bootId },
        { "age_ms", ageOf(snapshot, report->receivedAt) } };
}

json describeServer(const node_snapshot& snapshot, const server_snapshot& server)
{
    const auto& record = server.record;
    const auto& service = snapshot.services[record.service].settings;
    json peers = json::object();
    std::uint32_t peersInFlight = 0;
    for (const auto& [id, load] : record.load.peers) {
        peers[id] = { { "in_flight", load.inFlight }, { "average", load.average },
            { "age_ms", ageOf(snapshot, load.receivedAt) } };
        peersInFlight += load.inFlight;
    }
    return { { "address", record.address }, { "data_centre", record.dataCentre }, { "team", service.name.team },
        { "service", service.name.name }, { "listing", state::findName(state::hostListingNames, record.listing) },
        { "data_centre_out", record.dataCentreEvacuated }, { "takes_new_work", server.eligible },
        { "condition", state::findName(state::serverConditionNames, record.condition) },
        { "reason", record.conditionReason }, { "condition_age_ms", conditionAge(snapshot, record) },
        { "slots", service.slots }, { "limit", record.limit }, { "cold_allowance", server.coldAllowance },
        { "good_answers", record.successesAtLimit }, { "bad_answers", record.consecutiveFailures },
        { "in_flight", record.ownInFlight }, { "peers_in_flight", peersInFlight }, { "peers", std::move(peers) },
        { "peers_average", record.load.peersAverage }, { "slot_permits", record.load.assignedSlots },
        { "oldest_unanswered_ms", ageOf(snapshot, oldestStart(record)) }, { "latency_ms", latencyOf(record) },
        { "last_answer_age_ms", ageOf(snapshot, record.lastResponseAt) },
        { "report", describeReport(snapshot, record.report) }, { "probes_spent", record.probesSpent },
        { "probes_allowed_per_second", server.probesPerSecond }, { "probes_allowed", record.probing.budgeted },
        { "probing", record.probing.inFlight }, { "epoch", record.epoch }, { "setbacks", record.coldResets },
        { "shed_answers", record.consecutiveSheds }, { "connect_failures", record.consecutiveConnectFailures },
        { "ejections", record.ejections }, { "ejected_for_ms", millisecondsUntil(snapshot, record.ejectedUntil) },
        { "ejected_by_peers", record.ejectedBy.size() }, { "boot", record.bootId },
        { "usual_latency_ms", state::toMilliseconds(record.baselineLatency) } };
}

json describeService(const service_snapshot& service)
{
    const auto& settings = service.settings;
    return { { "team", settings.name.team }, { "name", settings.name.name }, { "active", service.active },
        { "host", settings.host }, { "path_prefix", settings.pathPrefix }, { "slots", settings.slots },
        { "connections", settings.connections },
        { "idempotent", state::findName(state::idempotencyNames, settings.idempotent) },
        { "timeout_ms", state::toMilliseconds(settings.timeout) }, { "hedge", settings.hedge },
        { "probes_per_second", settings.probesPerSecond }, { "max_waiting", settings.maxWaiting },
        { "wait_ms", state::toMilliseconds(settings.wait) }, { "retry_share", settings.retryShare },
        { "hedge_share", settings.hedgeShare }, { "servers", service.members }, { "waiting", service.waiting },
        { "retry_tokens", service.retryTokens }, { "hedge_tokens", service.hedgeTokens } };
}

json describeValue(const node_snapshot& snapshot, const value_snapshot& value)
{
    json described { { "revision", value.number }, { "source", state::findName(state::valueSourceNames, value.source) },
        { "age_ms", value.number > 0 ? json(ageOf(snapshot, value.receivedAt)) : json(nullptr) },
        { "bytes", value.bytes } };
    if (value.rejected)
        described["refused"] = { { "revision", *value.rejected }, { "why", value.rejectionReason },
            { "age_ms", ageOf(snapshot, value.rejectedAt) } };
    return described;
}

json describePeer(const node_snapshot& snapshot, const peer_snapshot& peer)
{
    return { { "address", peer.address }, { "data_centre", peer.dataCentre }, { "listed", peer.listed },
        { "leaving", peer.leaving }, { "incarnation", peer.incarnation }, { "sequence", peer.sequence },
        { "heard_age_ms", ageOf(snapshot, peer.receivedAt) } };
}

/// Writes each count under its enumerator's name, including counts of zero.
template <typename Enum, typename Table>
json describeCounts(const std::map<Enum, std::uint64_t>& counts, const Table& table)
{
    json described = json::object();
    for (const auto& row : table) {
        const auto found = counts.find(row.value);
        described[std::string(row.name)] = found == counts.end() ? 0 : found->second;
    }
    return described;
}

json describeCounters(const coordination::node_counters& counters)
{
    return { { "requests", describeCounts(counters.requestsByVerdict, state::verdictNames) },
        { "refusals", describeCounts(counters.refusals, state::refusalReasonNames) },
        { "attempts", describeCounts(counters.attemptsByOutcome, state::attemptOutcomeNames) },
        { "retries", counters.retries }, { "hedges", counters.hedges },
        { "callers_gone", counters.callersDisconnected }, { "probes", counters.probes },
        { "platform_reads", counters.platformReads }, { "peer_messages_sent", counters.peerMessagesSent },
        { "peer_messages_taken", counters.peerMessagesAccepted },
        { "peer_messages_dropped", counters.peerMessagesDropped },
        { "peer_messages_unknown", counters.peerMessagesFromUnknown },
        { "peer_messages_replayed", counters.peerMessagesReplayed },
        { "datagrams_refused", counters.datagramsRejected }, { "control_bytes_sent", counters.controlBytesSent },
        { "control_bytes_received", counters.controlBytesReceived },
        { "value_bytes_received", counters.valueBytesReceived }, { "value_bytes_served", counters.valueBytesServed },
        { "peer_reads", counters.peerReads }, { "pauses", counters.processPauses } };
}

} // namespace

json snapshotToJson(const node_snapshot& snapshot)
{
    json described { { "id", snapshot.settings.id }, { "data_centre", snapshot.settings.dataCentre },
        { "incarnation", snapshot.incarnation },
        { "addresses",
            { { "callers", snapshot.settings.callerAddress }, { "peers", snapshot.settings.peerAddress },
                { "operators", snapshot.settings.operatorAddress },
                { "platform", snapshot.settings.platformAddresses } } },
        { "phase", state::findName(coordination::nodePhaseNames, snapshot.phase) },
        { "phase_age_ms", ageOf(snapshot, snapshot.phaseSince) },
        { "picture_suspect", snapshot.staleSince.has_value() },
        { "picture_suspect_age_ms", ageOf(snapshot, snapshot.staleSince) },
        { "on_old_picture", snapshot.usingStaleState },
        { "permits_held_for_ms", millisecondsUntil(snapshot, snapshot.permitLeaseExpiresAt) },
        { "requests_in_progress", snapshot.requestsInProgress },
        { "attempts_in_progress", snapshot.attemptsInProgress }, { "entry_hosts_listed", snapshot.entryHosts },
        { "services", json::object() }, { "servers", json::object() }, { "values", json::object() },
        { "peers", json::object() }, { "counters", describeCounters(snapshot.counters) } };
    for (const auto& service : snapshot.services)
        described["services"][service.settings.name.team + '/' + service.settings.name.name] = describeService(service);
    for (const auto& server : snapshot.servers)
        described["servers"][server.record.id] = describeServer(snapshot, server);
    for (const auto& value : snapshot.values)
        described["values"][value.key] = describeValue(snapshot, value);
    for (const auto& peer : snapshot.peers)
        described["peers"][peer.id] = describePeer(snapshot, peer);
    return described;
}

json nodeToJson(const coordination::node& node, state::time_point now)
{
    return snapshotToJson(copyNode(node, now));
}

} // namespace acaciaslip::protocol
