#include "coordination/gateway/node.hpp"

#include "coordination/gateway/allowance_exchange.hpp"
#include "coordination/gateway/fleet_relay.hpp"
#include "coordination/gateway/fleet_serving.hpp"
#include "coordination/gateway/fleet_view.hpp"
#include "coordination/gateway/membership.hpp"
#include "coordination/gateway/probing.hpp"
#include "coordination/gateway/request_flow.hpp"
#include "coordination/gateway/shutdown.hpp"
#include "coordination/gateway/store_news.hpp"
#include "coordination/gateway/store_watch.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// Holds the arguments of all handlers, so that one overload set can dispatch the events.
struct dispatch {
    gateway_node& self;
    state::time_point now;
    random_generator& random;
    effect_list& effects;

    void operator()(const request_arrived& arrived) const { admitRequest(self, arrived, now, random, effects); }
    void operator()(const caller_disconnected& disconnected) const
    {
        handleCallerDisconnected(self, disconnected, now, effects);
    }
    void operator()(const probe_finished& finished) const { handleProbeFinished(self, finished, now, random, effects); }
    void operator()(const attempt_finished& finished) const
    {
        handleAttemptFinished(self, finished, now, random, effects);
    }
    void operator()(const fleet_update_received& published) const
    {
        handleFleetUpdate(self, published, now, random, effects);
    }
    void operator()(const store_answered&) const { recordStoreNews(self, now); }
    void operator()(const store_lost& lost) const { handleStoreUnanswered(self, lost, now, effects); }
    void operator()(const store_recovered&) const { handleStoreAnswered(self, now, effects); }
    void operator()(const heartbeat_received& received) const { handleHeartbeat(self, received, now, random, effects); }
    void operator()(const fetch_finished& finished) const { handleFetchFinished(self, finished, now, effects); }
    void operator()(const fetch_requested& requested) const { handleFetchRequested(self, requested, now, effects); }
    void operator()(const fetch_served& served) const { handleFetchServed(self, served, now, effects); }
    void operator()(const stop_requested&) const { beginShutdown(self, now, effects); }
    void operator()(const timer_expired&) const { }
};

} // namespace

gateway_node makeNode(node_settings settings, state::time_point now)
{
    gateway_node made;
    made.settings = std::move(settings);
    made.phaseSince = now;
    made.membership.startedAt = now;
    made.membership.nextGossipAt = now;
    made.storeWatch.nextStepAt = now;
    return made;
}

void handle(
    gateway_node& self, const event& happened, state::time_point now, random_generator& random, effect_list& effects)
{
    std::visit(dispatch { self, now, random, effects }, happened);
    processDueRequests(self, now, random, effects);
    processRestoration(self, now, effects);
    processMembership(self, now, random, effects);
    updateStoreWatch(self, now, random, effects);
    processAllowances(self, now, effects);
    processFetches(self, now, effects);
    processServing(self, now, effects);
    advanceShutdown(self, now, effects);
}

std::optional<state::time_point> nextWakeUp(const gateway_node& self) noexcept
{
    if (self.phase == node_phase::stopped)
        return std::nullopt;
    auto next = std::min(nextMembershipStep(self), nextStoreWatchStep(self));
    if (const auto fetch = nextFetchStep(self))
        next = std::min(next, *fetch);
    if (const auto allowances = nextAllowanceStep(self))
        next = std::min(next, *allowances);
    if (self.restoration.endsAt)
        next = std::min(next, *self.restoration.endsAt);
    if (const auto serving = nextServingStep(self))
        next = std::min(next, *serving);
    if (const auto stop = nextShutdownStep(self))
        next = std::min(next, *stop);
    if (!self.due.empty())
        next = std::min(next, self.due.begin()->first);
    return next;
}

bool isReady(const gateway_node& self) noexcept
{
    return self.phase == node_phase::serving;
}

} // namespace acaciaslip::coordination::gateway
