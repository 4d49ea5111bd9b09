#include "coordination/settings_distribution.hpp"

#include "coordination/fleet_update.hpp"
#include "coordination/membership.hpp"
#include "coordination/node.hpp"
#include "coordination/peer_messaging.hpp"
#include "coordination/read_planning.hpp"
#include "coordination/slot_assignment.hpp"
#include "coordination/state_refresh.hpp"
#include "coordination/value_keys.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

/// Maximum number of keys whose revisions are kept for one peer.
constexpr std::size_t maxPeerRevisions = 8;

/// Values that are to be activated together.
using candidate_set = std::map<state::value_key, state::published_value>;

/// A validated set of values, and the settings that result from activating it.
struct validated_values {
    state::fleet_settings settings;
    candidate_set values;
};

bool isWellKnown(std::string_view key) noexcept
{
    return std::find(wellKnownKeys.begin(), wellKnownKeys.end(), key) != wellKnownKeys.end();
}

/// The revisions that the index names once a set of values is active.
absl::StatusOr<std::map<state::value_key, state::revision>> readIndexed(const node& self, const candidate_set& values)
{
    const auto index = values.find(state::value_key(indexKey));
    if (index == values.end())
        return self.distribution.indexed;
    const auto settings = self.readSettings({ { index->first, index->second.body } });
    if (!settings.ok())
        return settings.status();
    return settings->indexedRevisions;
}

/// The bodies of all values that would be active. Once there is an index, only well-known keys and the keys that it
/// names are included.
std::map<state::value_key, std::string> listBodies(
    const node& self, const candidate_set& values, const std::map<state::value_key, state::revision>& indexed)
{
    const state::value_key index(indexKey);
    const auto known = self.values.find(index);
    const bool hasIndex = values.contains(index) || (known != self.values.end() && known->second.active.number > 0);
    std::map<state::value_key, std::string> bodies;
    for (const auto& [key, record] : self.values) {
        if (record.active.number > 0)
            bodies[key] = record.active.body;
    }
    for (const auto& [key, value] : values)
        bodies[key] = value.body;
    if (hasIndex)
        std::erase_if(
            bodies, [&](const auto& body) { return !isWellKnown(body.first) && !indexed.contains(body.first); });
    return bodies;
}

absl::StatusOr<validated_values> validateValues(const node& self, const candidate_set& values)
{
    const auto indexed = readIndexed(self, values);
    if (!indexed.ok())
        return indexed.status();
    auto settings = self.readSettings(listBodies(self, values, *indexed));
    if (!settings.ok())
        return settings.status();
    return validated_values { *std::move(settings), values };
}

candidate_set listRejected(const node& self)
{
    candidate_set rejected;
    for (const auto& [key, record] : self.values) {
        if (record.rejected)
            rejected[key] = *record.rejected;
    }
    return rejected;
}

/// Validates a value alone, then with all rejected values, then with each rejected value in turn.
/// \return the error of the value alone if all attempts fail
absl::StatusOr<validated_values> validateCombinations(
    const node& self, const state::value_key& key, const state::published_value& value)
{
    auto alone = validateValues(self, { { key, value } });
    if (alone.ok())
        return alone;
    auto rejected = listRejected(self);
    rejected.erase(key);
    if (rejected.empty())
        return alone;
    auto all = rejected;
    all[key] = value;
    if (auto together = validateValues(self, all); together.ok())
        return together;
    for (const auto& other : rejected) {
        if (auto pair = validateValues(self, { { key, value }, other }); pair.ok())
            return pair;
    }
    return alone;
}

void logActivated(const candidate_set& values, effect_list& effects)
{
    for (const auto& [key, value] : values)
        effects.emplace_back(log_event { log_level::info, "value_in_force",
            { { "key", key }, { "revision", std::to_string(value.number) },
                { "source", std::string(state::findName(state::valueSourceNames, value.source)) } } });
}

void activate(node& self, const validated_values& accepted, state::time_point now, effect_list& effects)
{
    for (const auto& [key, value] : accepted.values) {
        self.values[key] = { value, std::nullopt, {} };
        auto& progress = self.distribution.keys[key];
        progress.peersTried = 0;
        progress.peerMisses = 0;
        progress.platformMisses = 0;
    }
    self.distribution.indexed = accepted.settings.indexedRevisions;
    for (const auto& [key, number] : self.distribution.indexed) {
        auto& newest = self.distribution.keys[key].newestKnown;
        newest = std::max(newest, number);
    }
    applySettings(self, accepted.settings, now);
    assignSlots(self, accepted.settings);
    self.serverTags = makeServerTags(self.fleet);
    applyEntryHosts(self, accepted.settings, now);
    logActivated(accepted.values, effects);
}

void recordRejected(node& self, const state::value_key& key, state::published_value value, const absl::Status& reason,
    effect_list& effects)
{
    auto& record = self.values[key];
    record.rejected = std::move(value);
    record.rejectionReason = std::string(reason.message());
    effects.emplace_back(log_event { log_level::warning, "value_refused",
        { { "key", key }, { "revision", std::to_string(record.rejected->number) },
            { "why", record.rejectionReason } } });
}

/// Validates rejected values again after a change, until no more of them can be activated.
void retryRejected(node& self, state::time_point now, effect_list& effects)
{
    for (bool changed = true; changed;) {
        changed = false;
        for (const auto& [key, value] : listRejected(self)) {
            auto accepted = validateCombinations(self, key, value);
            if (!accepted.ok()) {
                self.values[key].rejectionReason = std::string(accepted.status().message());
                continue;
            }
            activate(self, *std::move(accepted), now, effects);
            changed = true;
            break;
        }
    }
}

void applyNewer(node& self, const value_received& received, state::time_point now, effect_list& effects)
{
    state::published_value value { received.number, received.body, received.source, now };
    auto accepted = validateCombinations(self, received.key, value);
    if (!accepted.ok())
        return recordRejected(self, received.key, std::move(value), accepted.status(), effects);
    activate(self, *std::move(accepted), now, effects);
    retryRejected(self, now, effects);
}

/// Whether a value may be activated: its key is well known or named by the index, or there is no index yet.
bool isApplicable(const node& self, const state::value_key& key)
{
    const auto index = self.values.find(state::value_key(indexKey));
    const bool hasIndex = index != self.values.end() && index->second.active.number > 0;
    return isWellKnown(key) || !hasIndex || self.distribution.indexed.contains(key);
}

void startServing(node& self, bool caughtUp, state::time_point now, effect_list& effects)
{
    self.phase = node_phase::serving;
    self.phaseSince = now;
    effects.emplace_back(
        log_event { log_level::info, "phase", { { "phase", "serving" }, { "caught_up", caughtUp ? "yes" : "no" } } });
}

} // namespace

void handleValue(
    node& self, const value_received& received, state::time_point now, random_generator& random, effect_list& effects)
{
    const auto purpose = finishRead(self, received);
    self.counters.valueBytesReceived += received.body.size();
    const auto before = listRevisions(self);
    if (received.number > heldRevision(self, received.key) && isApplicable(self, received.key)) {
        applyNewer(self, received, now, effects);
        self.distribution.keys[received.key].nextReadAt = now;
    } else
        handleUnchangedRead(self, received.key, purpose, received.source, now, random);
    if (listRevisions(self) != before)
        broadcastRevisionChange(self, now, effects);
    handleRefreshRead(self, received, now);
    finishStartWhenReady(self, now, effects);
}

void serveValue(node& self, const value_requested& requested, effect_list& effects)
{
    reply_with_value answer { requested.replyToken, requested.key, 0, {} };
    const auto found = self.values.find(requested.key);
    if (found != self.values.end() && heldRevision(self, requested.key) > requested.after) {
        const auto& record = found->second;
        const bool rejectedIsNewer = record.rejected && record.rejected->number > record.active.number;
        const auto& newest = rejectedIsNewer ? *record.rejected : record.active;
        answer.number = newest.number;
        answer.body = newest.body;
        self.counters.valueBytesServed += newest.body.size();
    }
    effects.emplace_back(std::move(answer));
}

void applyPeerRevisions(
    node& self, state::peer_record& peer, const state::peer_message& message, state::time_point /*now*/)
{
    for (const auto& [key, number] : message.revisions) {
        if (!isWellKnown(key) || (!peer.revisions.contains(key) && peer.revisions.size() >= maxPeerRevisions))
            continue;
        peer.revisions[key] = number;
        auto& newest = self.distribution.keys[key].newestKnown;
        newest = std::max(newest, number);
    }
}

std::vector<state::value_revision> listRevisions(const node& self)
{
    std::vector<state::value_revision> revisions;
    for (const auto key : wellKnownKeys) {
        const state::value_key name(key);
        const auto held = heldRevision(self, name);
        if (held > 0 && isDirect(self, key))
            revisions.push_back({ name, held });
    }
    return revisions;
}

bool isDirect(const node& self, std::string_view key)
{
    return key == indexKey || (isWellKnown(key) && !self.distribution.indexed.contains(state::value_key(key)));
}

state::revision heldRevision(const node& self, const state::value_key& key)
{
    const auto found = self.values.find(key);
    if (found == self.values.end())
        return 0;
    const auto& record = found->second;
    return std::max(record.active.number, record.rejected ? record.rejected->number : 0);
}

bool isOutdated(const node& self, const state::value_key& key)
{
    const auto found = self.distribution.keys.find(key);
    return found != self.distribution.keys.end() && found->second.newestKnown > heldRevision(self, key)
        && isApplicable(self, key);
}

bool isAnyOutdated(const node& self)
{
    return std::any_of(self.distribution.keys.begin(), self.distribution.keys.end(),
        [&](const auto& entry) { return isOutdated(self, entry.first); });
}

void finishStartWhenReady(node& self, state::time_point now, effect_list& effects)
{
    if (self.phase != node_phase::starting)
        return;
    const bool hasNoSources = self.settings.platformAddresses.empty() && self.settings.seedPeers.empty();
    if (hasNoSources && !self.fleet.services.empty())
        return startServing(self, true, now, effects);
    if (!self.distribution.startedAt)
        return;
    const auto& distribution = self.distribution;
    const bool isReadingAtStart = std::any_of(distribution.reads.begin(), distribution.reads.end(),
                                      [](const outstanding_read& read) { return read.purpose == read_purpose::start; })
        || (!self.settings.platformAddresses.empty()
            && std::any_of(wellKnownKeys.begin(), wellKnownKeys.end(), [&](std::string_view key) {
                   const auto found = distribution.keys.find(state::value_key(key));
                   return isDirect(self, key) && (found == distribution.keys.end() || !found->second.platformTried);
               }));
    const bool hasIndex = heldRevision(self, state::value_key(indexKey)) > 0;
    const bool isCaughtUp = hasIndex && !isReadingAtStart && !isAnyOutdated(self);
    const bool hasTimedOut = now - *distribution.startedAt >= startTimeout && !self.fleet.services.empty();
    if (isCaughtUp || hasTimedOut)
        startServing(self, isCaughtUp, now, effects);
}

} // namespace acaciaslip::coordination
