#include "coordination/gateway/fleet_relay.hpp"

#include "coordination/gateway/fleet_view.hpp"
#include "coordination/gateway/store_duty.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// A host that watches the store receives a change within this time after another watching host.
constexpr state::duration storeLead = std::chrono::milliseconds { 250 };
constexpr state::duration fetchPatience = std::chrono::milliseconds { 800 };

/// Returns the peer with the newest revision, preferring peers of the own data centre among equals.
const state::gateway::peer_ip* findBestSource(const gateway_node& self)
{
    const state::gateway::peer_ip* best = nullptr;
    state::revision most = self.published.asOf;
    for (const auto& [ip, peer] : self.peers) {
        if (!peer.heardAt || peer.asOf <= self.published.asOf)
            continue;
        const bool near = peer.dataCentre == self.settings.dataCentre;
        if (best == nullptr || peer.asOf > most || (peer.asOf == most && near)) {
            best = &ip;
            most = peer.asOf;
        }
    }
    return best;
}

} // namespace

void takePublished(gateway_node& self, const fleet_published& published, state::time_point now,
    random_generator& random, effect_list& effects)
{
    const auto before = self.published.asOf;
    notePublished(self, published, now, effects);
    if (self.published.asOf <= before)
        return;
    if (published.source == fleet_source::store)
        relayChanges(self, published.delta, now, random, effects);
    else
        passOnChanges(self, published.delta, now, random, effects);
}

void noteRelay(gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now,
    random_generator& random, effect_list& effects)
{
    if (message.delta)
        takePublished(self, { *message.delta, fleet_source::peer }, now, random, effects);
    if (message.asOf <= self.published.asOf || self.relay.fetchAt)
        return;
    const bool expectsStore = self.duty.follows && !self.storeLostAt && self.published.asOf > 0;
    self.relay.fetchAt = now + (expectsStore ? storeLead : state::duration {});
}

void noteFetchEnded(gateway_node& self, state::time_point now, effect_list& effects)
{
    self.relay.fetchEndsAt.reset();
    advanceRelay(self, now, effects);
}

void advanceRelay(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (self.relay.fetchEndsAt && now >= *self.relay.fetchEndsAt)
        self.relay.fetchEndsAt.reset();
    if (!self.relay.fetchAt || now < *self.relay.fetchAt || self.relay.fetchEndsAt)
        return;
    self.relay.fetchAt.reset();
    const auto* source = findBestSource(self);
    if (source == nullptr)
        return;
    self.relay.fetchEndsAt = now + fetchPatience;
    self.relay.fetchAt = now + fetchPatience; // retry if the fetch does not succeed
    effects.emplace_back(fetch_fleet { *source, self.published.asOf, fetchPatience });
    if (self.duty.follows)
        effects.emplace_back(refresh_store {});
}

std::optional<state::time_point> nextRelayStep(const gateway_node& self) noexcept
{
    if (!self.relay.fetchAt)
        return std::nullopt;
    return std::max(*self.relay.fetchAt, self.relay.fetchEndsAt.value_or(*self.relay.fetchAt));
}

} // namespace acaciaslip::coordination::gateway
