#include "coordination/gateway/fleet_relay.hpp"

#include "coordination/gateway/fleet_view.hpp"
#include "coordination/gateway/store_watch.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// A host that watches the store receives a change within this time after another watching host.
constexpr state::duration storeHeadStart = std::chrono::milliseconds { 250 };
constexpr state::duration fetchTimeout = std::chrono::milliseconds { 800 };

/// Returns the peer with the newest revision, preferring peers of the own data centre among equals.
const state::gateway::peer_ip* findBestSource(const gateway_node& self)
{
    const state::gateway::peer_ip* best = nullptr;
    state::revision newestRevision = self.published.asOf;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.receivedAt || peer.asOf <= self.published.asOf)
            continue;
        const bool isNear = peer.dataCentre == self.settings.dataCentre;
        if (best == nullptr || peer.asOf > newestRevision || (peer.asOf == newestRevision && isNear)) {
            best = &ip;
            newestRevision = peer.asOf;
        }
    }
    return best;
}

} // namespace

void handleFleetUpdate(gateway_node& self, const fleet_update_received& published, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto before = self.published.asOf;
    applyFleetUpdate(self, published, now, effects);
    if (self.published.asOf <= before)
        return;
    if (published.source == fleet_source::store)
        relayChanges(self, published.delta, now, random, effects);
    else
        forwardChanges(self, published.delta, now, random, effects);
}

void applyRelayedChanges(gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (message.delta)
        handleFleetUpdate(self, { *message.delta, fleet_source::peer }, now, random, effects);
    if (message.asOf <= self.published.asOf || self.fetch.fetchAt)
        return;
    const bool expectsStore = findStoreAccess(self) == state::gateway::store_access::answers;
    self.fetch.fetchAt = now + (expectsStore ? storeHeadStart : state::duration {});
}

void handleFetchFinished(gateway_node& self, state::time_point now, effect_list& effects)
{
    self.fetch.timeoutAt.reset();
    processFetches(self, now, effects);
}

void processFetches(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (self.fetch.timeoutAt && now >= *self.fetch.timeoutAt)
        self.fetch.timeoutAt.reset();
    if (!self.fetch.fetchAt || now < *self.fetch.fetchAt || self.fetch.timeoutAt)
        return;
    self.fetch.fetchAt.reset();
    const auto* source = findBestSource(self);
    if (source == nullptr)
        return;
    self.fetch.timeoutAt = now + fetchTimeout;
    self.fetch.fetchAt = now + fetchTimeout; // retry if the fetch does not succeed
    effects.emplace_back(fetch_fleet { *source, self.published.asOf, fetchTimeout });
    if (self.storeWatch.watching)
        effects.emplace_back(reread_store {});
}

std::optional<state::time_point> nextFetchStep(const gateway_node& self) noexcept
{
    if (!self.fetch.fetchAt)
        return std::nullopt;
    return std::max(*self.fetch.fetchAt, self.fetch.timeoutAt.value_or(*self.fetch.fetchAt));
}

} // namespace acaciaslip::coordination::gateway
