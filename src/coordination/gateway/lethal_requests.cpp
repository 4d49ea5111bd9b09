#include "coordination/gateway/lethal_requests.hpp"

#include "coordination/gateway/fleet_clock.hpp"
#include "coordination/gateway/keepers.hpp"
#include "coordination/gateway/membership.hpp"
#include "coordination/gateway/random_sample.hpp"
#include "coordination/gateway/request_log.hpp"

#include <algorithm>
#include <iterator>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::crash_report;
using state::gateway::digest_scope;
using state::gateway::peer_ip;
using state::gateway::request_digest;
using state::gateway::request_digests;

constexpr std::size_t suspectsPerHeartbeat = 2; ///< keeps it within one datagram

void sendReport(
    gateway_node& self, const peer_ip& ip, const crash_report& report, state::time_point now, effect_list& effects)
{
    if (ip == self.settings.ip)
        return;
    auto message = makeShortHeartbeat(self, now);
    message.crashes = { report };
    effects.emplace_back(send_peer_message { ip, std::move(message) });
}

void reportToKeepers(gateway_node& self, const request_digest& request, state::time_point now, effect_list& effects)
{
    const auto suspect = self.suspects.find(request);
    if (suspect == self.suspects.end())
        return;
    for (const auto& [dataCentre, keepers] : chooseKeepers(self, request.low)) {
        for (const auto& ip : keepers)
            sendReport(self, ip, suspect->second.report, now, effects);
    }
}

/// Tells the hosts of the own data centre and the keepers of the others, if this host is a keeper.
void announce(gateway_node& self, const request_digest& request, state::time_point now, effect_list& effects)
{
    const auto keepers = chooseKeepers(self, request.low);
    const auto& own = keepers.at(self.settings.dataCentre);
    if (std::find(own.begin(), own.end(), self.settings.ip) == own.end())
        return;
    const auto& report = self.suspects.at(request).report;
    for (const auto& [ip, peer] : self.peers) {
        const auto found = keepers.find(peer.dataCentre);
        const bool isKeeper = found != keepers.end()
            && std::find(found->second.begin(), found->second.end(), ip) != found->second.end();
        if (peer.dataCentre == self.settings.dataCentre || isKeeper)
            sendReport(self, ip, report, now, effects);
    }
}

void processChanges(gateway_node& self, state::time_point time, state::time_point now, effect_list& effects)
{
    // Other hosts may not know the servers that have ended beside those of a suspect, so this host tells its keepers.
    for (const auto& request : markSharedCrashes(self.suspects, self.endedServers))
        reportToKeepers(self, request, now, effects);
    for (const auto& request : updateRefusals(self.suspects, time)) {
        const auto& suspect = self.suspects.at(request);
        effects.emplace_back(log_event { log_level::warning, "lethal_request",
            { { "digest", describeDigest(request) },
                { "scope", std::string(findName(state::gateway::digestScopeNames, suspect.report.scope)) },
                { "refused", suspect.refusedFrom ? "yes" : "no" },
                { "servers", describeEndedServers(self, request) } } });
        announce(self, request, now, effects);
    }
}

/// Adds a report to what is known, and objects if this host has had an answer to such a request since.
/// \return whether keepers must be told
bool adoptReport(gateway_node& self, const crash_report& report, state::time_point time, state::time_point now)
{
    if (!mergeReport(self.suspects, report, time))
        return false;
    const auto before = self.suspects.at(report.request).report;
    const auto answered
        = findAnswered(report.scope == digest_scope::exact ? self.answered : self.answeredAnyQuery, report.request);
    if (!answered)
        return false;
    crash_report objection;
    objection.request = report.request;
    objection.answeredAt = time - (now - *answered);
    objection.lastSeenAt = report.lastSeenAt;
    (void)mergeReport(self.suspects, objection, time);
    return !before.answeredAt || self.suspects.at(report.request).report.crashes != before.crashes;
}

const request_digest& digestOf(const request_digests& request, digest_scope scope) noexcept
{
    return scope == digest_scope::exact ? request.exact : request.anyQuery;
}

/// Adds an answer to what is known of a suspect, if the digest is one.
void clearSuspect(gateway_node& self, const request_digest& request, state::time_point time, state::time_point now,
    effect_list& effects)
{
    const auto suspect = self.suspects.find(request);
    if (suspect == self.suspects.end() || suspect->second.report.crashes.empty())
        return;
    crash_report objection;
    objection.request = request;
    objection.answeredAt = time;
    objection.lastSeenAt = time;
    if (mergeReport(self.suspects, objection, time))
        reportToKeepers(self, request, now, effects);
    processChanges(self, time, now, effects);
}

bool isRefused(const gateway_node& self, const request_digest& request, state::time_point time)
{
    const auto suspect = self.suspects.find(request);
    return suspect != self.suspects.end() && suspect->second.refusedFrom && time >= *suspect->second.refusedFrom;
}

} // namespace

void recordCrash(gateway_node& self, const state::host_id& server, const crash_check::run& run, state::time_point now,
    effect_list& effects)
{
    const auto time = fleetTime(self, now);
    if (!time)
        return;
    for (const auto scope : { digest_scope::exact, digest_scope::any_query }) {
        crash_report report;
        report.scope = scope;
        report.request = digestOf(run.request, scope);
        if (report.request == request_digest {})
            continue;
        if (scope == digest_scope::exact)
            report.anyQuery = run.request.anyQuery;
        report.crashes = { { server, *time - (now - run.startedAt), *time - (now - run.endedAt) } };
        report.lastSeenAt = *time;
        recordEnd(self.endedServers, report.crashes.front());
        (void)adoptReport(self, report, *time, now);
        reportToKeepers(self, report.request, now, effects);
    }
    processChanges(self, *time, now, effects);
}

void recordRequestAnswered(
    gateway_node& self, const request_digests& request, state::time_point now, effect_list& effects)
{
    const auto time = fleetTime(self, now);
    if (!time)
        return;
    for (const auto scope : { digest_scope::exact, digest_scope::any_query }) {
        const auto& digest = digestOf(request, scope);
        if (digest == request_digest {})
            continue;
        recordAnswered(scope == digest_scope::exact ? self.answered : self.answeredAnyQuery, digest, now);
        clearSuspect(self, digest, *time, now, effects);
    }
}

void adoptReports(
    gateway_node& self, const std::vector<crash_report>& reports, state::time_point now, effect_list& effects)
{
    const auto time = fleetTime(self, now);
    if (!time || reports.empty())
        return;
    for (const auto& report : reports) {
        for (const auto& crash : report.crashes)
            recordEnd(self.endedServers, crash);
        if (adoptReport(self, report, *time, now))
            reportToKeepers(self, report.request, now, effects);
    }
    processChanges(self, *time, now, effects);
}

std::vector<crash_report> sampleSuspects(const gateway_node& self, random_generator& random)
{
    std::vector<crash_report> refused;
    std::vector<crash_report> others;
    for (const auto& [request, suspect] : self.suspects)
        (suspect.refusedFrom ? refused : others).push_back(suspect.report);
    auto sample = pickRandom(std::move(refused), suspectsPerHeartbeat, random);
    auto further = pickRandom(std::move(others), suspectsPerHeartbeat - sample.size(), random);
    std::move(further.begin(), further.end(), std::back_inserter(sample));
    return sample;
}

std::optional<request_digest> findLethal(
    const gateway_node& self, const request_digests& request, state::time_point now)
{
    const auto time = fleetTime(self, now);
    for (const auto& digest : { request.exact, request.anyQuery }) {
        if (time && isRefused(self, digest, *time))
            return digest;
    }
    return std::nullopt;
}

bool recordLethalArrival(gateway_node& self, const request_digests& request, state::time_point now)
{
    const auto time = fleetTime(self, now);
    if (!time)
        return false;
    std::vector<crash_suspect*> refusing;
    for (const auto& digest : { request.exact, request.anyQuery }) {
        if (!isRefused(self, digest, *time))
            continue;
        refusing.push_back(&self.suspects.at(digest));
        refusing.back()->report.lastSeenAt = *time;
    }
    // Both digests have the same host, so that their trials are the same ones.
    const bool decides = chooseKeepers(self, request.anyQuery.low).begin()->second.front() == self.settings.ip;
    if (!decides || refusing.empty() || !std::all_of(refusing.begin(), refusing.end(), [&](const auto* suspect) {
            return isTrialDue(*suspect, *time);
        }))
        return false;
    for (auto* suspect : refusing)
        ++suspect->trials;
    return true;
}

std::string describeEndedServers(const gateway_node& self, const request_digest& request)
{
    std::string described;
    const auto suspect = self.suspects.find(request);
    if (suspect == self.suspects.end())
        return described;
    for (const auto& crash : suspect->second.report.crashes)
        described += (described.empty() ? "" : ",") + crash.server;
    return described;
}

void expireSuspects(gateway_node& self, state::time_point now)
{
    const auto time = fleetTime(self, now);
    if (!time)
        return;
    expireSuspects(self.suspects, *time);
    std::erase_if(self.endedServers, [&](const ended_server& ended) { return ended.endedAt + suspicionTime < *time; });
}

} // namespace acaciaslip::coordination::gateway
