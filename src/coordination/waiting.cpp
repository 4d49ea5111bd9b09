#include "coordination/waiting.hpp"

#include "coordination/deadlines.hpp"
#include "coordination/freshness.hpp"
#include "coordination/hedging.hpp"
#include "coordination/node.hpp"
#include "coordination/request_end.hpp"
#include "coordination/sending.hpp"
#include "coordination/token_budget.hpp"

#include <algorithm>
#include <iterator>

namespace acaciaslip::coordination {

namespace {

constexpr int departureWeight = 8; ///< the newest interval's weight in the average is one in this many
constexpr std::uint32_t enoughDepartures = 8; ///< before an estimate is trusted
constexpr state::duration estimateLife = std::chrono::seconds { 5 }; ///< without a departure
constexpr state::duration shortestRetryAfter = std::chrono::milliseconds { 500 };
constexpr state::duration longestRetryAfter = std::chrono::seconds { 10 };

void noteDeparture(state::departure_estimate& departures, state::time_point now)
{
    const auto interval = now - departures.since;
    if (departures.samples == 0)
        departures.interval = interval;
    else
        departures.interval += (interval - departures.interval) / departureWeight;
    ++departures.samples;
    departures.since = now;
}

void joinQueue(node& self, state::request& request, state::time_point now)
{
    const auto& settings = self.fleet.services[request.service].settings;
    auto& activity = self.fleet.services[request.service].activity;
    if (activity.waiting.empty()) {
        if (now - activity.departures.since > estimateLife)
            activity.departures.samples = 0;
        activity.departures.since = now;
    }
    request.waitingUntil = std::min(request.deadline, now + settings.wait);
    activity.waiting.insert({ request.deadline, request.id });
    scheduleRequest(self.requests, request, now);
}

bool cannotEndInTime(const node& self, const state::request& request, state::time_point now)
{
    const auto& service = self.fleet.services[request.service];
    const auto wait = expectedWait(service.activity, request.deadline, now);
    return wait && now + *wait > std::min(request.deadline, now + service.settings.wait);
}

/// Sends one waiting request if it is ready, can pay and finds a server.
bool trySendWaiting(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& budget = self.fleet.services[request.service].activity.retries;
    if (request.notBefore > now || !canPay(budget, request.owedTokens)
        || !trySend(self, request, attempt_role::only, now, random, effects))
        return false;
    budget.tokens -= request.owedTokens;
    request.owedTokens = 0;
    if (request.attempts > 1)
        ++self.counters.retries;
    return true;
}

} // namespace

void waitForServer(
    node& self, state::request& request, state::time_point now, random_generator& random, effect_list& effects)
{
    const auto& service = self.fleet.services[request.service];
    const auto refuse = [&](state::refusal_reason reason) {
        endWithRefusal(self, request, request.mayHaveRun ? state::refusal_reason::broken_answer : reason,
            findRetryAfter(self, request.service, random), effects);
    };
    if (!hasCandidate(self, request.service) && !isPictureSuspect(self, now))
        return refuse(state::refusal_reason::no_server);
    if (service.activity.waiting.size() >= service.settings.maxWaiting || cannotEndInTime(self, request, now))
        return refuse(state::refusal_reason::overloaded);
    joinQueue(self, request, now);
}

void serveWaiting(
    node& self, state::service_index service, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& waiting = self.fleet.services[service].activity.waiting;
    for (auto next = waiting.begin(); next != waiting.end();) {
        auto& request = self.requests.requests.find(next->id)->second;
        if (trySendWaiting(self, request, now, random, effects)) {
            noteDeparture(self.fleet.services[service].activity.departures, now);
            next = waiting.erase(next);
            request.waitingUntil.reset();
            planHedge(self, request, now);
            scheduleRequest(self.requests, request, now);
        } else if (request.tried.empty() && request.notBefore <= now) {
            return; // no server has room for anyone
        } else {
            ++next;
        }
    }
}

void leaveQueue(node& self, state::request& request)
{
    if (!request.waitingUntil)
        return;
    request.waitingUntil.reset();
    self.fleet.services[request.service].activity.waiting.erase({ request.deadline, request.id });
}

std::optional<state::duration> expectedWait(
    const state::service_activity& activity, state::time_point deadline, state::time_point now)
{
    const auto& departures = activity.departures;
    if (activity.waiting.empty() || departures.samples < enoughDepartures || now - departures.since > estimateLife)
        return std::nullopt;
    const auto ahead = std::distance(activity.waiting.begin(), activity.waiting.lower_bound({ deadline, {} }));
    return departures.interval * (ahead + 1);
}

state::duration findRetryAfter(const node& self, state::service_index service, random_generator& random)
{
    const auto& activity = self.fleet.services[service].activity;
    const auto queue = static_cast<std::int64_t>(activity.waiting.size() + 1);
    const auto wait = std::clamp(activity.departures.interval * queue, shortestRetryAfter, longestRetryAfter);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return wait + std::chrono::milliseconds { random(static_cast<std::uint32_t>(milliseconds)) };
}

} // namespace acaciaslip::coordination
