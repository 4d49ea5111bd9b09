#include "coordination/gateway/round_resolution.hpp"

#include "coordination/gateway/due_requests.hpp"
#include "coordination/gateway/leaving_servers.hpp"
#include "coordination/gateway/probe_targets.hpp"
#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/request_end.hpp"
#include "coordination/gateway/request_log.hpp"
#include "coordination/gateway/sending.hpp"
#include "coordination/gateway/server_back_off.hpp"
#include "coordination/gateway/server_limit.hpp"
#include "coordination/gateway/server_load.hpp"
#include "coordination/gateway/service_outage.hpp"
#include "coordination/gateway/service_time_trials.hpp"
#include "coordination/gateway/slot_reservation.hpp"
#include "coordination/gateway/waiting_order.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;
using state::gateway::send_reason;

constexpr double pauseServiceTimeShare = 0.1; ///< share of the typical service time between two rounds
constexpr std::uint32_t maxUnansweredRounds = 3; ///< rounds without an answer before a request is refused
/// A server is chosen at once if its estimate is at most this multiple of the typical service time.
constexpr double goodServiceTimeFactor = 1.4;
/// Share of the remaining slack between two rounds of a held back request. Each round probes three to seven servers,
/// which costs a host more than the request itself; more rounds gain little, since the reserve changes slowly.
constexpr int heldBackSlackParts = 5;
constexpr int heldBackPauseFactor = 2; ///< likewise, relative to the usual pause
constexpr state::duration maxHeldBackPause = std::chrono::milliseconds { 300 };

bool contains(const std::vector<state::host_id>& list, const state::host_id& id) noexcept
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Waits for a moment at which a server is free, if the request can then still meet its objective, and refuses it
/// otherwise.
/// \param why reason for the wait, for the log
void waitOrRefuse(gateway_node& self, pending_request& request, std::string_view why, state::duration wait,
    state::refusal_reason reason, state::time_point now, random_generator& random, effect_list& effects)
{
    effects.emplace_back(describeProbePause(request, why, wait, now));
    request.round.reset();
    const auto typical = typicalServiceTime(self, request);
    const auto latest = request.objectiveAt - typical;
    if (now + wait > latest)
        return endWithRefusal(self, request, reason, now, random, effects);
    // Jitter keeps the waiting requests from being sent at the same moment.
    const auto spread = std::min<state::duration>(
        latest - (now + wait), reason == state::refusal_reason::back_off ? wait / 2 : state::duration {});
    request.probeAgainAt = now + std::max<state::duration>(wait + spread / 1024 * random(1024), minPause);
    schedule(self, request);
}

/// When no server has answered, schedules another round or refuses the request.
void resolveNoAnswer(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    if (request.round->reason == send_reason::hedge) {
        request.round.reset();
        return schedule(self, request);
    }
    const bool noServer = request.round->probed.empty();
    // Another request may have used this node's turn at a server that has answered.
    const bool allAnswered = request.round->answered.size() == request.round->probed.size();
    const auto turn = allAnswered ? timeUntilLimitedServer(self, request, now) : std::nullopt;
    if (turn)
        return waitOrRefuse(self, request, "limited", *turn, state::refusal_reason::overloaded, now, random, effects);
    if (const auto pause = timeUntilBackOffEnds(self, request.service, now))
        return waitOrRefuse(self, request, "back_off", *pause, state::refusal_reason::back_off, now, random, effects);
    const auto outage = outageTime(self, request.service, now);
    const auto* const why = noServer ? "nobody_to_ask" : outage ? "all_down" : "no_answer";
    effects.emplace_back(describeProbePause(request, why, {}, now));
    request.round.reset();
    if (noServer || outage || request.rounds >= maxUnansweredRounds)
        return endWithRefusal(self, request, state::refusal_reason::no_server, now, random, effects);
    request.probeAgainAt = now + minPause;
    schedule(self, request);
}

/// Handles a hedge when no second server is good: the first server may still respond in time, or another server may be
/// found later.
void resolveHedge(gateway_node& self, pending_request& request, const candidate& best, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto typical = typicalServiceTime(self, request);
    const auto limit = now < request.objectiveAt ? request.objectiveAt : request.deadline;
    if (now + best.estimate.time <= limit)
        return sendRequest(self, request, *best.server, best.estimate, send_reason::hedge, now, random, effects);
    request.round.reset();
    const auto again = now + std::max<state::duration>(minPause, typical / 2);
    if (again + typical < request.deadline)
        request.hedgeAt = again;
    schedule(self, request);
}

/// No server is good enough. Waiting is useful only while a request that starts later can still meet its objective.
void resolveOverload(gateway_node& self, pending_request& request, const candidate& best, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto reason = request.round->reason;
    const auto typical = typicalServiceTime(self, request);
    const auto pause = std::max(minPause, std::chrono::duration_cast<state::duration>(typical * pauseServiceTimeShare));
    if (now + pause + typical <= request.objectiveAt) {
        effects.emplace_back(describeProbePause(request, "all_slow", best.estimate.time, now));
        request.round.reset();
        request.probeAgainAt = now + pause;
        return schedule(self, request);
    }
    const bool inTime = now + best.estimate.time <= request.deadline;
    if (inTime || startServiceTimeTrial(self, request, best.estimate, now, effects))
        return sendRequest(self, request, *best.server, best.estimate, reason, now, random, effects);
    request.round.reset();
    endWithRefusal(self, request, state::refusal_reason::overloaded, now, random, effects);
}

/// The servers keep their free slots for more urgent requests. The request waits as long as its objective allows, in
/// which time the reserve becomes smaller.
void resolveHeldBack(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    const bool isHedge = request.round->reason == send_reason::hedge;
    effects.emplace_back(describeProbePause(request, "reserved", {}, now));
    request.round.reset();
    const auto typical = typicalServiceTime(self, request);
    const auto latest = request.objectiveAt - typical;
    const auto usual = std::max(minPause, std::chrono::duration_cast<state::duration>(typical * pauseServiceTimeShare));
    const auto shortest = usual * heldBackPauseFactor;
    const auto pause = std::clamp((latest - now) / heldBackSlackParts, shortest, std::max(shortest, maxHeldBackPause));
    const auto again = now + pause - pause / 4096 * random(1024); // jitter of up to a quarter
    if (isHedge) {
        if (again + typical < request.deadline)
            request.hedgeAt = again;
        return schedule(self, request);
    }
    if (now + minPause > latest)
        return endWithRefusal(self, request, state::refusal_reason::overloaded, now, random, effects);
    request.probeAgainAt = std::min(again, latest);
    schedule(self, request);
}

/// Gives a server that a request has found to one that has waited and comes first, if the request can wait as well.
/// \return whether the server was given away
bool yieldToWaiting(gateway_node& self, pending_request& request, const candidate& best, state::time_point now,
    random_generator& random, effect_list& effects)
{
    auto* const first = findFirstWaiting(self, request);
    if (first == nullptr || contains(first->tried, *best.server)
        || now + minPause + typicalServiceTime(self, request) > request.objectiveAt)
        return false;
    const auto* const server = findServer(self, *best.server);
    const auto estimate = estimateCompletion(*server, typicalServiceTime(self, *first), now);
    if (now + estimate.time > first->objectiveAt || !hasUnreservedSlot(*server, computeReserve(self, *first, now)))
        return false;
    const auto id = *best.server;
    const auto reason = first->sends > 0 ? send_reason::retry : send_reason::first_send;
    effects.emplace_back(describeProbePause(request, "yields", best.estimate.time, now));
    request.round.reset();
    request.probeAgainAt = now + minPause;
    schedule(self, request);
    first->probeAgainAt.reset();
    sendRequest(self, *first, id, estimate, reason, now, random, effects);
    return true;
}

} // namespace

candidate findBest(gateway_node& self, const pending_request& request, state::time_point now)
{
    const auto typical = typicalServiceTime(self, request);
    const bool skipsLeaving = hasStayingServer(self, request, now);
    candidate best;
    for (const auto& id : request.round->answered) {
        const auto* server = findServer(self, id);
        if (server == nullptr || (skipsLeaving && server->leavingUntil) || !isEligible(*server, now)
            || !isAdmitted(self, *server, now) || contains(request.tried, id))
            continue;
        if (!hasUnreservedSlot(*server, request.reserve)) {
            best.heldBack = true;
            continue;
        }
        const auto estimate = estimateCompletion(*server, typical, now);
        if (best.server == nullptr || estimate.time < best.estimate.time)
            best = { &id, estimate, best.heldBack };
    }
    return best;
}

bool isGood(const gateway_node& self, const pending_request& request, const candidate& best)
{
    const auto typical = typicalServiceTime(self, request);
    return best.server != nullptr && best.estimate.startsImmediately
        && best.estimate.time <= std::chrono::duration_cast<state::duration>(typical * goodServiceTimeFactor);
}

void resolveRound(gateway_node& self, pending_request& request, const candidate& best, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (best.server == nullptr && best.heldBack)
        return resolveHeldBack(self, request, now, random, effects);
    if (best.server == nullptr)
        return resolveNoAnswer(self, request, now, random, effects);
    if (request.round->reason == send_reason::hedge)
        return resolveHedge(self, request, best, now, random, effects);
    const bool inTime = now + best.estimate.time <= request.objectiveAt;
    if (inTime && !request.mayHaveRun && yieldToWaiting(self, request, best, now, random, effects))
        return;
    if (inTime || request.mayHaveRun)
        return sendRequest(self, request, *best.server, best.estimate, request.round->reason, now, random, effects);
    resolveOverload(self, request, best, now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
