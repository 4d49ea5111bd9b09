#include "coordination/gateway/fleet_serving.hpp"

#include "coordination/gateway/configuration_merge.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::fetch_id;

/// Large answers that a host sends at a time. With one, a host that has stopped reading would block all others.
constexpr std::size_t maxTransfers = 2;
/// An answer with more items than this waits for its turn. Smaller ones fit into a few packets.
constexpr std::size_t maxSmallItems = 100;
constexpr state::duration turnTimeout = std::chrono::milliseconds { 800 }; ///< after which another transfer may start
constexpr std::size_t maxWaiting = 1024; ///< hosts

template <typename Items> std::size_t countNewer(const Items& items, state::revision after)
{
    return static_cast<std::size_t>(std::count_if(
        items.begin(), items.end(), [&](const auto& entry) { return entry.second.revisionNumber > after; }));
}

/// Number of items in the answer to a host that knows everything up to a revision.
std::size_t countItems(const state::gateway::published_fleet& known, state::revision after)
{
    return countNewer(known.servers, after) + countNewer(known.evacuations, after)
        + countConfigurationChanges(known.config, after);
}

bool hasFreeTurn(const fleet_serving& serving, state::time_point now)
{
    const auto inTurn = std::count_if(serving.transfers.begin(), serving.transfers.end(),
        [&](const auto& entry) { return now - entry.second.startedAt < turnTimeout; });
    return static_cast<std::size_t>(inTurn) < maxTransfers;
}

void startWaiting(gateway_node& self, state::time_point now, effect_list& effects)
{
    auto& serving = self.serving;
    while (!serving.waiting.empty() && hasFreeTurn(serving, now)) {
        const auto next = serving.waiting.front();
        serving.waiting.pop_front();
        serving.transfers[next.id] = { next.ip, now };
        ++self.counters.fetchesServed;
        effects.emplace_back(serve_fleet { next.id, next.after, next.readsChanges });
    }
}

/// Redirects the later half of the waiting hosts to one that has the change.
void redirectHalf(gateway_node& self, const state::gateway::peer_ip& to, effect_list& effects)
{
    auto& waiting = self.serving.waiting;
    for (auto count = (waiting.size() + 1) / 2; count > 0; --count) {
        if (waiting.back().ip != to) {
            ++self.counters.fetchesRedirected;
            effects.emplace_back(redirect_fetch { waiting.back().id, to });
        } else
            effects.emplace_back(refuse_fetch { waiting.back().id }); // an earlier fetch of the same host
        waiting.pop_back();
    }
}

} // namespace

void handleFetchRequested(
    gateway_node& self, const fetch_requested& requested, state::time_point now, effect_list& effects)
{
    if (self.published.asOf == 0 || self.serving.waiting.size() >= maxWaiting) {
        effects.emplace_back(refuse_fetch { requested.id });
        return;
    }
    if (countItems(self.published, requested.after) <= maxSmallItems) {
        effects.emplace_back(serve_fleet { requested.id, requested.after, requested.readsChanges });
        return;
    }
    self.serving.waiting.push_back({ requested.id, requested.ip, requested.after, requested.readsChanges });
    startWaiting(self, now, effects);
}

void handleFetchServed(gateway_node& self, const fetch_served& served, state::time_point now, effect_list& effects)
{
    std::erase_if(self.serving.waiting, [&](const auto& waiting) { return waiting.id == served.id; });
    const auto ended = self.serving.transfers.extract(served.id);
    if (!ended.empty() && served.complete && !ended.mapped().ip.empty())
        redirectHalf(self, ended.mapped().ip, effects);
    startWaiting(self, now, effects);
}

void processServing(gateway_node& self, state::time_point now, effect_list& effects)
{
    self.serving.steppedAt = now;
    startWaiting(self, now, effects);
}

std::optional<state::time_point> nextServingStep(const gateway_node& self) noexcept
{
    if (self.serving.waiting.empty())
        return std::nullopt;
    std::optional<state::time_point> next;
    for (const auto& [id, running] : self.serving.transfers) {
        const auto turnEnd = running.startedAt + turnTimeout;
        if (turnEnd > self.serving.steppedAt)
            next = std::min(next.value_or(turnEnd), turnEnd);
    }
    return next;
}

} // namespace acaciaslip::coordination::gateway
