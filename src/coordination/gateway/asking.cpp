#include "coordination/gateway/asking.hpp"

#include "coordination/connection_share.hpp"
#include "coordination/gateway/ask_choice.hpp"
#include "coordination/gateway/completion_estimate.hpp"
#include "coordination/gateway/due_requests.hpp"
#include "coordination/gateway/request_end.hpp"
#include "coordination/gateway/request_log.hpp"
#include "coordination/gateway/retry_after.hpp"
#include "coordination/gateway/sending.hpp"
#include "coordination/gateway/server_health.hpp"
#include "coordination/gateway/server_load.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::asking_reason;
using state::gateway::pending_request;

constexpr std::size_t firstAsked = 3; ///< servers; more gain little unless all of these are busy
constexpr std::size_t askedWhenWidened = 4; ///< further servers, if none of the first is good
constexpr state::duration firstWindow
    = std::chrono::milliseconds { 8 }; ///< covers a few round trips between data centres
constexpr state::duration widenedWindow = std::chrono::milliseconds { 12 };
constexpr state::duration longestWindow = std::chrono::milliseconds { 60 }; ///< while no server has answered
constexpr state::duration askPatience
    = std::chrono::milliseconds { 250 }; ///< after this time the server counts as unreachable
constexpr state::duration shortestPause
    = std::chrono::milliseconds { 30 }; ///< minimum time between two rounds of one request
constexpr double pauseWorkShare = 0.1; ///< share of the typical service time between two rounds
constexpr std::uint32_t mostSilentRounds = 3; ///< rounds without an answer before a request is refused
/// Connections per server for any fleet size: one for a running request and one to probe during it.
constexpr std::uint32_t fewestConnections = 2;
constexpr double goodWorks
    = 1.4; ///< a server is chosen at once if it needs at most this multiple of the typical service time

struct choice {
    const state::host_id* server = nullptr;
    completion_estimate estimate;
};

bool contains(const std::vector<state::host_id>& list, const state::host_id& id) noexcept
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Returns the server with the earliest estimated completion among those that have answered in this round.
choice findBest(gateway_node& self, const pending_request& request, state::time_point now)
{
    const auto typical = typicalWork(self, request.service, request.matched->objective);
    choice best;
    for (const auto& id : request.round->answered) {
        const auto* server = findServer(self, id);
        if (server == nullptr || !isUsable(*server, now) || !mayTakeWhileCold(self, *server, now)
            || contains(request.tried, id))
            continue;
        const auto estimate = estimateCompletion(*server, typical, now);
        if (best.server == nullptr || estimate.time < best.estimate.time)
            best = { &id, estimate };
    }
    return best;
}

bool isGood(const gateway_node& self, const pending_request& request, const choice& best)
{
    const auto typical = typicalWork(self, request.service, request.matched->objective);
    return best.server != nullptr && best.estimate.startsAtOnce
        && best.estimate.time <= std::chrono::duration_cast<state::duration>(typical * goodWorks);
}

/// A good server in the own data centre is chosen before the others have answered, if the request is idempotent.
bool mayTakeFirst(gateway_node& self, const pending_request& request, const choice& best)
{
    const auto* server = findServer(self, *best.server);
    return request.matched->kind == state::gateway::request_kind::idempotent
        && server->entry.dataCentre == self.settings.dataCentre;
}

void askMore(gateway_node& self, pending_request& request, std::size_t most, state::duration window,
    state::time_point now, random_generator& random, effect_list& effects)
{
    auto& round = *request.round;
    for (const auto& id : chooseServersToAsk(self, request, most, now, random)) {
        const auto& server = self.servers.at(id);
        const auto* service = state::gateway::findService(*request.config, server.entry.service);
        if (service == nullptr)
            continue;
        const auto ask = state::gateway::ask_id { self.nextAsk++ };
        self.asks[static_cast<std::uint64_t>(ask)] = request.id;
        round.running.push_back(ask);
        round.asked.push_back(id);
        const auto share = std::max(connectionShare(service->maxConnections, self.share.hosts), fewestConnections);
        effects.emplace_back(ask_server { ask, id, server.entry.address, service->healthPath, askPatience, share });
    }
    round.decideAt = now + window;
}

/// When no server has answered, schedules another round or refuses the request.
void settleSilence(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    if (request.round->reason == asking_reason::hedge) {
        request.round.reset();
        return schedule(self, request);
    }
    const bool nobody = request.round->asked.empty();
    effects.emplace_back(describeWait(request, nobody ? "nobody_to_ask" : "no_answer", {}, now));
    request.round.reset();
    if (nobody || request.rounds >= mostSilentRounds)
        return endWithRefusal(self, request, state::refusal_reason::no_server, now, random, effects);
    request.askAgainAt = now + shortestPause;
    schedule(self, request);
}

/// Handles a hedge when no second server is good: the first server may still respond in time, or another server may be
/// found later.
void settleHedge(gateway_node& self, pending_request& request, const choice& best, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto typical = typicalWork(self, request.service, request.matched->objective);
    const auto limit = now < request.objectiveAt ? request.objectiveAt : request.answerBy;
    if (now + best.estimate.time <= limit)
        return sendRequest(self, request, *best.server, best.estimate, asking_reason::hedge, now, random, effects);
    request.round.reset();
    const auto again = now + std::max<state::duration>(shortestPause, typical / 2);
    if (again + typical < request.answerBy)
        request.hedgeAt = again;
    schedule(self, request);
}

/// No server is good enough. Waiting is useful only while a request that starts later can still meet its objective.
void settleOverload(gateway_node& self, pending_request& request, const choice& best, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto reason = request.round->reason;
    const auto typical = typicalWork(self, request.service, request.matched->objective);
    const auto pause = std::max(shortestPause, std::chrono::duration_cast<state::duration>(typical * pauseWorkShare));
    if (now + pause + typical <= request.objectiveAt) {
        effects.emplace_back(describeWait(request, "all_slow", best.estimate.time, now));
        request.round.reset();
        request.askAgainAt = now + pause;
        return schedule(self, request);
    }
    if (now + best.estimate.time <= request.answerBy)
        return sendRequest(self, request, *best.server, best.estimate, reason, now, random, effects);
    request.round.reset();
    endWithRefusal(self, request, state::refusal_reason::overloaded, now, random, effects);
}

void settle(gateway_node& self, pending_request& request, const choice& best, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (best.server == nullptr)
        return settleSilence(self, request, now, random, effects);
    if (request.round->reason == asking_reason::hedge)
        return settleHedge(self, request, best, now, random, effects);
    const bool inTime = now + best.estimate.time <= request.objectiveAt;
    if (inTime || request.mayHaveRun)
        return sendRequest(self, request, *best.server, best.estimate, request.round->reason, now, random, effects);
    settleOverload(self, request, best, now, random, effects);
}

void consider(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& round = *request.round;
    const auto best = findBest(self, request, now);
    const bool good = isGood(self, request, best);
    const bool allAnswered = round.running.empty();
    const bool timeIsUp = now >= round.decideAt;
    if (good && (allAnswered || timeIsUp || mayTakeFirst(self, request, best)))
        return settle(self, request, best, now, random, effects);
    if (!allAnswered && !timeIsUp)
        return schedule(self, request);
    if (!round.widened) {
        round.widened = true;
        askMore(self, request, askedWhenWidened, widenedWindow, now, random, effects);
        if (!round.running.empty())
            return schedule(self, request);
    }
    if (best.server == nullptr && !round.running.empty() && now < round.startedAt + longestWindow) {
        round.decideAt = round.startedAt + longestWindow;
        return schedule(self, request);
    }
    settle(self, request, best, now, random, effects);
}

void takeAnswer(gateway_node& self, const ask_finished& finished, state::time_point now)
{
    auto* const server = findServer(self, finished.server);
    if (server == nullptr || finished.outcome == ask_outcome::no_connection)
        return;
    if (finished.outcome == ask_outcome::no_answer || finished.outcome == ask_outcome::other_server)
        return noteUnreachable(*server, now);
    noteReachable(*server);
    server->coldUntil = now + finished.coldLeft;
    if (finished.report)
        noteReport(self, finished.server, *finished.report, now);
}

} // namespace

void beginRound(gateway_node& self, pending_request& request, asking_reason reason, state::time_point now,
    random_generator& random, effect_list& effects)
{
    request.askAgainAt.reset();
    request.hedgeAt.reset();
    request.round.emplace();
    request.round->reason = reason;
    request.round->startedAt = now;
    ++request.rounds;
    askMore(self, request, firstAsked, firstWindow, now, random, effects);
    if (request.round->running.empty())
        return settleSilence(self, request, now, random, effects);
    schedule(self, request);
}

void noteAskFinished(gateway_node& self, const ask_finished& finished, state::time_point now, random_generator& random,
    effect_list& effects)
{
    ++self.counters.asksByOutcome[finished.outcome];
    takeAnswer(self, finished, now);
    const auto known = self.asks.find(static_cast<std::uint64_t>(finished.id));
    if (known == self.asks.end())
        return;
    const auto asking = known->second;
    self.asks.erase(known);
    const auto found = self.requests.find(static_cast<std::uint64_t>(asking));
    if (found == self.requests.end() || !found->second.round)
        return;
    auto& request = found->second;
    auto& running = request.round->running;
    const auto asked = std::find(running.begin(), running.end(), finished.id);
    if (asked == running.end())
        return; // the probe belongs to an earlier round
    running.erase(asked);
    if (finished.outcome == ask_outcome::healthy)
        request.round->answered.push_back(finished.server);
    consider(self, request, now, random, effects);
}

void advanceRound(
    gateway_node& self, pending_request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    consider(self, request, now, random, effects);
}

} // namespace acaciaslip::coordination::gateway
