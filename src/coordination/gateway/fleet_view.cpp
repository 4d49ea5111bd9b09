#include "coordination/gateway/fleet_view.hpp"

#include "coordination/gateway/fleet_clock.hpp"
#include "coordination/gateway/fleet_merge.hpp"
#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/store_restoration.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::server_entry;
using state::gateway::server_state;

/// Servers whose entries expired while the store was unavailable register again within this time after its recovery.
constexpr state::duration reregistrationTime = std::chrono::seconds { 2 };

log_event describeServer(std::string_view what, const server_entry& entry, state::revision number)
{
    return { log_level::info, "server",
        { { "server", entry.id }, { "what", std::string(what) }, { "service", entry.service },
            { "address", entry.address }, { "data_centre", entry.dataCentre }, { "revision", std::to_string(number) },
            { "cold_ms", std::to_string(static_cast<std::int64_t>(state::toMilliseconds(entry.coldRemaining))) } } };
}

void applyConfiguration(gateway_node& self, state::time_point now, effect_list& effects)
{
    const auto& published = self.published.config;
    if (!published.value || (self.config && self.config->version == published.value->version))
        return;
    self.config = std::make_shared<const state::gateway::configuration>(*published.value);
    self.teamKeys = indexKeys(self.config);
    self.configAppliedAt = now;
    self.splits.clear();
    updateRequestClasses(self);
    if (self.phase == node_phase::starting) {
        self.phase = node_phase::serving;
        self.phaseSince = now;
    }
    effects.emplace_back(log_event { log_level::info, "configuration",
        { { "version", std::to_string(self.config->version) }, { "revision", std::to_string(published.revisionNumber) },
            { "routes", std::to_string(self.config->routes.size()) },
            { "teams", std::to_string(self.config->teams.size()) } } });
}

/// A restarted server has lost its state, so nothing observed before the restart applies.
bool isRestart(const server_state& known, const server_entry& entry) noexcept
{
    return entry.startedAtUnixMs != known.entry.startedAtUnixMs || entry.address != known.entry.address;
}

/// Whether an entry has a new revision only because the store was restored from a copy, or is applied once more.
bool isWrittenBefore(const server_state& known, const server_entry& entry, state::revision number) noexcept
{
    const bool hasNewEra = state::eraOf(number) > state::eraOf(known.revisionNumber);
    return (hasNewEra || known.revisionNumber == 0) && entry.startedAtUnixMs == known.entry.startedAtUnixMs;
}

void applyServer(
    gateway_node& self, server_entry entry, state::revision number, state::time_point now, effect_list& effects)
{
    if (hasDepartedBeforeCopy(self, entry, number, now))
        return;
    const auto [position, added] = self.servers.try_emplace(entry.id);
    auto& server = position->second;
    if (!added && isDrainingBeforeCopy(self, server, entry, number, now))
        entry.draining = true;
    if (!added && entry.startedAtUnixMs < server.entry.startedAtUnixMs)
        return; // a write from before the restart that arrived late
    server.removeAt.reset();
    self.restoration.departures.erase(entry.id);
    if (!added && server.revisionNumber == number)
        return;
    const bool drains = entry.draining && !server.entry.draining;
    if (!added && isRestart(server, entry)) {
        const auto inFlight = server.ownInFlight;
        server = {};
        server.ownInFlight = inFlight;
        server.limitSaidAt = fleetTime(self, now); // what other hosts heard before the restart no longer applies
        effects.emplace_back(describeServer("restarted", entry, number));
    } else if (added || drains)
        effects.emplace_back(describeServer(added ? "registered" : "draining", entry, number));
    const bool isRepeated = !added && isWrittenBefore(server, entry, number);
    server.revisionNumber = number;
    if (entry.coldRemaining > state::duration::zero() && !isRepeated)
        server.coldUntil = std::max(server.coldUntil, now + entry.coldRemaining);
    server.entry = std::move(entry);
}

/// While the store is unavailable and shortly afterwards, an entry may have expired only because its server could not
/// renew it.
state::time_point findRemovalTime(const gateway_node& self, state::time_point now)
{
    if (self.storeLostAt)
        return state::time_point::max();
    return std::max(now, self.storeRecoveringUntil);
}

void removeMissingServers(gateway_node& self, state::time_point now, effect_list& effects)
{
    for (auto position = self.servers.begin(); position != self.servers.end();) {
        auto& [id, server] = *position;
        const auto published = self.published.servers.find(id);
        if (published != self.published.servers.end() && published->second.value) {
            ++position;
            continue;
        }
        if (!server.removeAt)
            effects.emplace_back(describeServer("unregistered", server.entry, self.published.asOf));
        server.removeAt = std::min(server.removeAt.value_or(state::time_point::max()), findRemovalTime(self, now));
        const bool hasLeft = *server.removeAt <= now;
        if (hasLeft)
            recordDeparture(self, server.entry, now);
        position = hasLeft ? self.servers.erase(position) : std::next(position);
    }
}

void rebuildMembers(gateway_node& self)
{
    for (auto& [name, service] : self.services)
        service.members.clear();
    for (auto& [id, server] : self.servers) {
        server.evacuated = isEvacuated(self, server.entry.dataCentre);
        self.services[server.entry.service].members.push_back(id);
    }
    for (auto& [name, service] : self.services)
        std::sort(service.members.begin(), service.members.end());
}

void logEvacuations(const std::map<state::data_centre_id, bool>& before, const gateway_node& self, effect_list& effects)
{
    for (const auto& [dataCentre, item] : self.published.evacuations) {
        const auto known = before.find(dataCentre);
        if (item.value.has_value() == (known != before.end() && known->second))
            continue;
        effects.emplace_back(log_event { log_level::info, "evacuation",
            { { "data_centre", dataCentre }, { "out", item.value ? "yes" : "no" },
                { "revision", std::to_string(item.revisionNumber) } } });
    }
}

void applyFleet(gateway_node& self, state::time_point now, effect_list& effects)
{
    applyConfiguration(self, now, effects);
    for (const auto& [id, item] : self.published.servers) {
        if (item.value)
            applyServer(self, *item.value, item.revisionNumber, now, effects);
    }
    removeMissingServers(self, now, effects);
    rebuildMembers(self);
}

} // namespace

void applyFleetUpdate(
    gateway_node& self, const fleet_update_received& published, state::time_point now, effect_list& effects)
{
    std::map<state::data_centre_id, bool> evacuated;
    for (const auto& [dataCentre, item] : self.published.evacuations)
        evacuated[dataCentre] = item.value.has_value();
    std::set<state::data_centre_id> out;
    for (const auto& [dataCentre, item] : self.published.evacuations) {
        if (isEvacuated(self, dataCentre))
            out.insert(dataCentre);
    }
    const auto before = self.published.asOf;
    const auto merged = mergeDelta(self.published, published.delta);
    beginRestoration(self, before, out, now, effects);
    // After a restoration, an item that is written again as it was in the copy matters too.
    if (!merged.changed && !self.restoration.endsAt)
        return;
    ++self.counters.deltasApplied;
    logEvacuations(evacuated, self, effects);
    applyFleet(self, now, effects);
}

void processRestoration(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (!endRestoration(self, now))
        return;
    for (auto& [id, server] : self.servers)
        server.revisionNumber = 0; // applies the entry again
    applyFleet(self, now, effects);
}

void handleStoreLost(gateway_node& self, const store_lost& lost, state::time_point now, effect_list& effects)
{
    if (self.storeLostAt)
        return;
    self.storeLostAt = now;
    ++self.counters.storeLosses;
    effects.emplace_back(log_event { log_level::warning, "store_lost",
        { { "reason", lost.reason },
            { "silent_ms", std::to_string(static_cast<std::int64_t>(state::toMilliseconds(lost.silentFor))) },
            { "revision", std::to_string(self.published.asOf) } } });
}

void handleStoreRecovered(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (!self.storeLostAt)
        return;
    effects.emplace_back(log_event { log_level::info, "store_regained",
        { { "away_ms", std::to_string(static_cast<std::int64_t>(state::toMilliseconds(now - *self.storeLostAt))) },
            { "revision", std::to_string(self.published.asOf) } } });
    self.storeLostAt.reset();
    extendStoreRecovery(self, now);
    for (auto& [id, server] : self.servers) {
        if (server.removeAt)
            server.removeAt = std::min(*server.removeAt, self.storeRecoveringUntil);
    }
}

void extendStoreRecovery(gateway_node& self, state::time_point now) noexcept
{
    self.storeRecoveringUntil = std::max(self.storeRecoveringUntil, now + reregistrationTime);
}

} // namespace acaciaslip::coordination::gateway
