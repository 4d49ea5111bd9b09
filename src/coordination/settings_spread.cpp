#include "coordination/settings_spread.hpp"

#include "coordination/fleet_update.hpp"
#include "coordination/membership.hpp"
#include "coordination/node.hpp"
#include "coordination/request_handling.hpp"
#include "coordination/slot_permits.hpp"

#include <string_view>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration watchWait = std::chrono::seconds { 5 };
constexpr state::duration readInterval = std::chrono::milliseconds { 500 };
constexpr state::duration retryInterval = std::chrono::milliseconds { 500 };
constexpr std::string_view wellKnownKeys[]
    = { "acaciaslip/index", "acaciaslip/templates", "acaciaslip/data_centres", "acaciaslip/hosts" };

std::map<state::value_key, std::string> bodiesWith(const node& self, const value_received& received)
{
    std::map<state::value_key, std::string> bodies;
    for (const auto& [key, record] : self.values) {
        if (record.inForce.number > 0)
            bodies[key] = record.inForce.body;
    }
    bodies[received.key] = received.body;
    return bodies;
}

/// Watches every team that the index names.
void followIndex(node& self, const state::fleet_settings& settings)
{
    for (const auto& [key, number] : settings.indexed)
        self.values.try_emplace(key);
}

void putInForce(node& self, const value_received& received, const state::fleet_settings& settings,
    state::time_point now, effect_list& effects)
{
    auto& record = self.values[received.key];
    record.inForce = { received.number, received.body, received.source, now };
    record.refused.reset();
    record.refusedBecause.clear();
    followIndex(self, settings);
    applySettings(self, settings, now);
    dealSlotPermits(self, settings);
    self.serverTags = makeServerTags(self.fleet);
    applyEntryHosts(self, settings, now);
    if (self.phase == node_phase::starting && !self.fleet.services.empty()) {
        self.phase = node_phase::serving;
        self.phaseSince = now;
    }
    effects.emplace_back(log_event { log_level::info, "value_in_force",
        { { "key", received.key }, { "revision", std::to_string(received.number) } } });
}

void keepLastGood(
    node& self, const value_received& received, const absl::Status& why, state::time_point now, effect_list& effects)
{
    auto& record = self.values[received.key];
    record.refused = { received.number, received.body, received.source, now };
    record.refusedBecause = std::string(why.message());
    effects.emplace_back(log_event { log_level::warning, "value_refused",
        { { "key", received.key }, { "revision", std::to_string(received.number) },
            { "why", record.refusedBecause } } });
}

} // namespace

void noteValue(node& self, const value_received& received, state::time_point now, effect_list& effects)
{
    self.spread.reading[received.key] = false;
    self.spread.nextReadAt[received.key] = now + readInterval;
    const auto& record = self.values[received.key];
    if (received.number <= record.inForce.number)
        return;
    if (record.refused && received.number <= record.refused->number)
        return;
    const auto settings = self.readSettings(bodiesWith(self, received));
    if (settings.ok())
        putInForce(self, received, *settings, now, effects);
    else
        keepLastGood(self, received, settings.status(), now, effects);
}

void noteValueReadFailed(node& self, const value_read_failed& failed, state::time_point now, random_generator& random)
{
    self.spread.reading[failed.key] = false;
    ++self.spread.platformChoice;
    const auto jitter = std::chrono::milliseconds { random(500) };
    self.spread.nextReadAt[failed.key] = now + retryInterval + jitter;
}

void serveValue(const node& self, const value_requested& requested, effect_list& effects)
{
    serve_value answer { requested.token, requested.key, 0, {} };
    const auto found = self.values.find(requested.key);
    if (found != self.values.end() && found->second.inForce.number > requested.after) {
        answer.number = found->second.inForce.number;
        answer.body = found->second.inForce.body;
    }
    effects.emplace_back(std::move(answer));
}

void planReads(node& self, state::time_point now, random_generator& /*random*/, effect_list& effects)
{
    for (const auto key : wellKnownKeys)
        self.values.try_emplace(std::string(key));
    for (const auto& [key, record] : self.values) {
        if (self.spread.reading[key] || now < self.spread.nextReadAt[key] || self.settings.platform.empty())
            continue;
        self.spread.reading[key] = true;
        ++self.counters.platformReads;
        const auto& address = self.settings.platform[self.spread.platformChoice % self.settings.platform.size()];
        effects.emplace_back(
            fetch_value { key, record.inForce.number, state::value_source::platform, address, watchWait, now });
    }
}

} // namespace acaciaslip::coordination
