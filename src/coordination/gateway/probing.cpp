#include "coordination/gateway/probing.hpp"

#include "coordination/connection_limit.hpp"
#include "coordination/gateway/crash_detection.hpp"
#include "coordination/gateway/due_requests.hpp"
#include "coordination/gateway/leaving_servers.hpp"
#include "coordination/gateway/probe_targets.hpp"
#include "coordination/gateway/round_resolution.hpp"
#include "coordination/gateway/server_back_off.hpp"
#include "coordination/gateway/server_health.hpp"
#include "coordination/gateway/server_limit.hpp"
#include "coordination/gateway/server_load.hpp"
#include "coordination/gateway/slot_reservation.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;
using state::gateway::send_reason;

constexpr std::size_t initialProbes = 3; ///< servers; more gain little unless all of these are busy
constexpr std::size_t additionalProbes = 4; ///< further servers, if none of the first is good
/// Time limit of the initial probes; covers a few round trips between data centres.
constexpr state::duration initialWindow = std::chrono::milliseconds { 8 };
constexpr state::duration widenedWindow = std::chrono::milliseconds { 12 };
constexpr state::duration maxWindow = std::chrono::milliseconds { 60 }; ///< while no server has answered
/// After this time without an answer, the server counts as unreachable.
constexpr state::duration probeTimeout = std::chrono::milliseconds { 250 };
/// Connections per server for any fleet size: one for a running request and one to probe during it.
constexpr std::uint32_t minConnections = 2;

/// A good server in the own data centre is chosen before the others have answered, if the request is idempotent.
bool mayChooseEarly(gateway_node& self, const pending_request& request, const candidate& best)
{
    const auto* server = findServer(self, *best.server);
    return request.matched->kind == state::gateway::request_kind::idempotent
        && server->entry.dataCentre == self.settings.dataCentre;
}

void sendProbes(gateway_node& self, pending_request& request, std::size_t maxCount, state::duration window,
    state::time_point now, random_generator& random, effect_list& effects)
{
    auto& round = *request.round;
    for (const auto& id : chooseServersToProbe(self, request, maxCount, now, random)) {
        const auto& server = self.servers.at(id);
        auto probe = makeProbe(self, server, *request.config);
        if (!probe)
            continue;
        self.probes[static_cast<std::uint64_t>(probe->id)] = request.id;
        round.inFlight.push_back(probe->id);
        round.probed.push_back(id);
        effects.emplace_back(std::move(*probe));
    }
    round.decideAt = now + window;
}

void evaluateRound(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& round = *request.round;
    const auto best = findBest(self, request, now);
    const bool good = isGood(self, request, best);
    const bool allAnswered = round.inFlight.empty();
    const bool timeIsUp = now >= round.decideAt;
    if (good && (allAnswered || timeIsUp || mayChooseEarly(self, request, best)))
        return resolveRound(self, request, best, now, random, effects);
    if (!allAnswered && !timeIsUp)
        return schedule(self, request);
    const bool waitsAnyway = best.server == nullptr && best.heldBack && hasAmpleSlack(self, request, now);
    if (!round.widened && !waitsAnyway) {
        round.widened = true;
        sendProbes(self, request, additionalProbes, widenedWindow, now, random, effects);
        if (!round.inFlight.empty())
            return schedule(self, request);
    }
    if (best.server == nullptr && !best.heldBack && !round.inFlight.empty() && now < round.startedAt + maxWindow) {
        round.decideAt = round.startedAt + maxWindow;
        return schedule(self, request);
    }
    request.heldBack = best.server == nullptr && best.heldBack;
    resolveRound(self, request, best, now, random, effects);
}

void recordDown(state::gateway::server_state& server, probe_outcome outcome, state::time_point now)
{
    recordUnreachable(server, now);
    if (outcome != probe_outcome::refused)
        server.downSince.reset();
    else if (!server.downSince)
        server.downSince = now;
}

void recordProbeResult(gateway_node& self, const probe_finished& finished, state::time_point now, effect_list& effects)
{
    auto* const server = findServer(self, finished.server);
    if (server == nullptr || finished.outcome == probe_outcome::no_connection)
        return;
    if (finished.outcome == probe_outcome::no_answer || finished.outcome == probe_outcome::refused
        || finished.outcome == probe_outcome::other_server)
        return recordDown(*server, finished.outcome, now);
    recordReachable(*server);
    if (finished.leaving)
        recordLeaving(self, finished.server, "probe", now, effects);
    server->coldUntil = now + finished.coldRemaining;
    if (finished.report)
        recordLoadReport(self, finished.server, *finished.report, now);
    recordProbeLimit(self, finished.server, finished.limit, now, effects);
    recordBackOff(self, finished.server, finished.backOff, "probe", now, effects);
}

} // namespace

std::optional<probe_server> makeProbe(
    gateway_node& self, const state::gateway::server_state& server, const state::gateway::configuration& config)
{
    const auto* service = state::gateway::findService(config, server.entry.service);
    if (service == nullptr)
        return std::nullopt;
    const auto share = std::max(connectionLimitPerHost(service->maxConnections, self.share.hosts), minConnections);
    return probe_server { state::gateway::probe_id { self.nextProbe++ }, server.entry.id, server.entry.address,
        service->healthPath, probeTimeout, share };
}

void startProbeRound(gateway_node& self, pending_request& request, send_reason reason, state::time_point now,
    random_generator& random, effect_list& effects)
{
    request.probeAgainAt.reset();
    request.hedgeAt.reset();
    request.round.emplace();
    request.round->reason = reason;
    request.round->startedAt = now;
    // A request that may have run cannot be refused without loss.
    request.reserve = request.mayHaveRun ? 0 : computeReserve(self, request, now);
    ++request.rounds;
    sendProbes(self, request, initialProbes, initialWindow, now, random, effects);
    if (request.round->inFlight.empty())
        return resolveRound(self, request, {}, now, random, effects);
    schedule(self, request);
}

void handleProbeFinished(gateway_node& self, const probe_finished& finished, state::time_point now,
    random_generator& random, effect_list& effects)
{
    ++self.counters.probesByOutcome[finished.outcome];
    recordProbeResult(self, finished, now, effects);
    if (finishCrashCheck(self, finished, now, effects))
        return;
    const auto known = self.probes.find(static_cast<std::uint64_t>(finished.id));
    if (known == self.probes.end())
        return;
    const auto requestId = known->second;
    self.probes.erase(known);
    const auto found = self.requests.find(static_cast<std::uint64_t>(requestId));
    if (found == self.requests.end() || !found->second.round)
        return;
    auto& request = found->second;
    auto& inFlight = request.round->inFlight;
    const auto probe = std::find(inFlight.begin(), inFlight.end(), finished.id);
    if (probe == inFlight.end())
        return; // the probe belongs to an earlier round
    inFlight.erase(probe);
    if (finished.outcome == probe_outcome::healthy)
        request.round->answered.push_back(finished.server);
    evaluateRound(self, request, now, random, effects);
}

void finishProbeRound(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    evaluateRound(self, request, now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
