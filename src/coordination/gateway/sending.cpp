#include "coordination/gateway/sending.hpp"

#include "coordination/gateway/due_requests.hpp"
#include "coordination/gateway/lethal_requests.hpp"
#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/request_end.hpp"
#include "coordination/gateway/request_log.hpp"
#include "coordination/gateway/server_load.hpp"
#include "coordination/gateway/shutdown.hpp"
#include "coordination/hedging.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;
using state::gateway::send_reason;

/// Sends of one request that may be refused in addition to the route's attempts. Each one adds load to a server, unless
/// the server has named a time without requests: this host then sends it nothing more, so that such refusals are
/// bounded by the number of servers and by the retry budget.
constexpr std::uint32_t maxRefusedSends = 2;
/// Hosts that a host without an answer from any other one assumes for the retry budget. More than any fleet has: many
/// hosts that are cut off may not spend the fixed allowance several times.
constexpr std::uint32_t uncountedHosts = 1000;
/// A hedge is due when a request that starts then still meets its objective with this margin, in service times.
constexpr double hedgeServiceTimeFactor = 1.3;
/// The hedge is not sent before the first attempt has taken this multiple of its expected duration.
constexpr double hedgeDelayFactor = 1.2;

/// A second copy is sent when the first one has taken longer than this share of its class take…
constexpr double hedgeQuantile = 0.9;
/// …or, if the second one could then no longer meet the objective, longer than this share.
constexpr double earliestHedgeQuantile = 0.75;
constexpr double likelyQuantile = 0.5; ///< duration in which the second one is likely to finish

/// Plans the hedge of a request whose class is known by the distribution of the class's durations. The mean says
/// little: work of seven times the mean occurs in 3 % of the requests. \return empty while few durations are known, or
/// if a second copy can no longer meet the objective
std::optional<state::time_point> planClassHedge(
    const gateway_node& self, const pending_request& request, state::time_point now)
{
    const auto* const known = findClass(self, request);
    const auto latest = known != nullptr ? findQuantile(known->durations, hedgeQuantile) : std::nullopt;
    if (!latest)
        return std::nullopt;
    const auto earliest = findQuantile(known->durations, earliestHedgeQuantile).value_or(*latest);
    const auto inTime = request.objectiveAt - findQuantile(known->durations, likelyQuantile).value_or(*latest);
    const auto at = std::max(now + earliest, std::min(now + *latest, inTime));
    return at <= inTime ? std::optional { at } : std::nullopt;
}

std::optional<state::time_point> planHedge(
    const gateway_node& self, const pending_request& request, state::duration expected, state::time_point now)
{
    if (request.matched->kind != state::gateway::request_kind::idempotent || request.matched->attempts < 2)
        return std::nullopt;
    if (const auto at = planClassHedge(self, request, now))
        return at;
    const auto typical = typicalServiceTime(self, request);
    const auto latest
        = request.objectiveAt - std::chrono::duration_cast<state::duration>(typical * hedgeServiceTimeFactor);
    const auto earliest = now + std::chrono::duration_cast<state::duration>(expected * hedgeDelayFactor);
    const auto at = std::max(latest, earliest);
    return at + typical < request.deadline ? std::optional { at } : std::nullopt;
}

} // namespace

bool mayRetry(gateway_node& self, const pending_request& request, state::time_point now)
{
    const bool idempotent = request.matched->kind == state::gateway::request_kind::idempotent;
    if (!idempotent && (request.mayHaveRun || !request.attemptsInFlight.empty()))
        return false;
    if (request.possibleRuns >= request.matched->attempts
        || request.sends - request.backOffRefusals >= request.matched->attempts + maxRefusedSends)
        return false;
    const auto& limits = self.settings.limits;
    const auto phase = findBudgetPhase(limits, self.membership.startedAt, now);
    const auto hosts = self.membership.hostsCounted ? self.share.hosts : uncountedHosts;
    const bool allowed
        = request.sends == 0 || mayRetry(self.services[request.service].retryBudget, limits, hosts, phase, now);
    self.counters.retriesDenied += allowed ? 0 : 1;
    return allowed;
}

void sendRequest(gateway_node& self, pending_request& request, state::host_id server,
    const completion_estimate& estimate, send_reason reason, state::time_point now, random_generator& random,
    effect_list& effects)
{
    request.round.reset();
    if (!mayRetry(self, request, now)) {
        effects.emplace_back(describeRetryDenied(self, request));
        if (reason == send_reason::hedge)
            return schedule(self, request);
        return endWithRefusal(self, request, state::refusal_reason::overloaded, now, random, effects);
    }
    if (findLethal(self, request.digests, now) && (!request.isTrial || request.sends > 0)) {
        if (reason == send_reason::hedge)
            return schedule(self, request);
        const auto why
            = request.mayHaveRun ? state::refusal_reason::broken_answer : state::refusal_reason::ends_servers;
        return endWithRefusal(self, request, why, now, random, effects);
    }
    if (!endsBeforeKill(self, estimate.time, now)) {
        if (reason == send_reason::hedge)
            return schedule(self, request);
        const auto why = request.mayHaveRun ? state::refusal_reason::broken_answer : state::refusal_reason::leaving;
        return endWithRefusal(self, request, why, now, random, effects);
    }
    if (request.sends > 0) {
        recordRetry(self.services[request.service].retryBudget, self.settings.limits, now);
        ++(reason == send_reason::hedge ? self.counters.hedges : self.counters.retries);
    }
    effects.emplace_back(describeSend(self, request, server, estimate, reason, now));
    const auto id = state::attempt_id { self.nextAttempt++ };
    self.attempts[static_cast<std::uint64_t>(id)] = { request.id, server };
    recordSend(self, server, now);
    ++request.sends;
    ++request.possibleRuns;
    request.attemptsInFlight.push_back({ id, server, now, estimate.time });
    request.hedgeAt = planHedge(self, request, estimate.time, now);
    const auto& address = self.servers.at(server).entry.address;
    effects.emplace_back(send_request { id, request.id, server, address, request.deadline - now, request.team });
    request.tried.push_back(std::move(server));
    schedule(self, request);
}

} // namespace acaciaslip::coordination::gateway
