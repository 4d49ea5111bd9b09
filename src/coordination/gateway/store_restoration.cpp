#include "coordination/gateway/store_restoration.hpp"

#include "coordination/gateway/fleet_view.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// Within this time after a restoration, entries of servers that have left expire, and all others are written again.
constexpr state::duration restorationTime = std::chrono::seconds { 6 };
constexpr state::duration departureMemory = std::chrono::seconds { 60 }; ///< longest age of a copy that is handled
constexpr std::size_t maxDepartures = 4096; ///< servers

/// Whether an item may be part of the copy, and not written since.
bool isFromCopy(const store_restoration& restoration, state::revision number, state::time_point now) noexcept
{
    return restoration.endsAt && now < *restoration.endsAt && number <= restoration.copyAsOf;
}

} // namespace

void beginRestoration(gateway_node& self, state::revision before, const std::set<state::data_centre_id>& evacuated,
    state::time_point now, effect_list& effects)
{
    if (before == 0 || state::eraOf(self.published.asOf) <= state::eraOf(before))
        return;
    auto& restoration = self.restoration;
    restoration.endsAt = now + restorationTime;
    restoration.copyAsOf = self.published.asOf;
    restoration.evacuated = evacuated;
    ++self.counters.storeRestorations;
    extendStoreRecovery(self, now);
    effects.emplace_back(log_event { log_level::warning, "restoration",
        { { "before", std::to_string(before) }, { "revision", std::to_string(self.published.asOf) },
            { "evacuated", std::to_string(evacuated.size()) } } });
}

bool hasDepartedBeforeCopy(
    const gateway_node& self, const state::gateway::server_entry& entry, state::revision number, state::time_point now)
{
    if (!isFromCopy(self.restoration, number, now))
        return false;
    const auto departed = self.restoration.departures.find(entry.id);
    return departed != self.restoration.departures.end() && entry.startedAtUnixMs <= departed->second.startedAtUnixMs;
}

bool isDrainingBeforeCopy(const gateway_node& self, const state::gateway::server_state& known,
    const state::gateway::server_entry& entry, state::revision number, state::time_point now) noexcept
{
    return known.entry.draining && entry.startedAtUnixMs == known.entry.startedAtUnixMs
        && isFromCopy(self.restoration, number, now);
}

bool isEvacuated(const gateway_node& self, const state::data_centre_id& dataCentre)
{
    const auto published = self.published.evacuations.find(dataCentre);
    if (published != self.published.evacuations.end() && published->second.value)
        return true;
    const auto& restoration = self.restoration;
    if (!restoration.endsAt || !restoration.evacuated.contains(dataCentre))
        return false;
    const bool isEnded
        = published != self.published.evacuations.end() && published->second.revisionNumber > restoration.copyAsOf;
    return !isEnded;
}

void recordDeparture(gateway_node& self, const state::gateway::server_entry& entry, state::time_point now)
{
    auto& departures = self.restoration.departures;
    std::erase_if(departures, [&](const auto& departed) { return now - departed.second.at >= departureMemory; });
    if (departures.size() < maxDepartures)
        departures[entry.id] = { entry.startedAtUnixMs, now };
}

bool endRestoration(gateway_node& self, state::time_point now)
{
    if (!self.restoration.endsAt || now < *self.restoration.endsAt)
        return false;
    self.restoration.endsAt.reset();
    self.restoration.evacuated.clear();
    return true;
}

} // namespace acaciaslip::coordination::gateway
