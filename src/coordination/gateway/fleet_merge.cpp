#include "coordination/gateway/fleet_merge.hpp"

#include "coordination/gateway/configuration_merge.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::fleet_delta;
using state::gateway::published_fleet;

/// Maximum number of removals kept for peers that lag behind; a peer that lags further receives a snapshot.
constexpr std::ptrdiff_t maxTombstones = 1000;

template <typename Items> bool mergeItems(Items& known, const Items& read)
{
    bool changed = false;
    for (const auto& [key, item] : read) {
        auto& kept = known[key];
        if (item.revisionNumber <= kept.revisionNumber)
            continue;
        changed |= kept.value != item.value;
        kept = item;
    }
    return changed;
}

/// Removes items that the snapshot does not contain, unless they are newer than the snapshot.
template <typename Items> bool removeMissing(Items& known, const Items& read, state::revision asOf)
{
    bool changed = false;
    for (auto position = known.begin(); position != known.end();) {
        const auto& [key, item] = *position;
        const bool missing = !read.contains(key) && item.revisionNumber <= asOf;
        changed |= missing && item.value.has_value();
        position = missing ? known.erase(position) : std::next(position);
    }
    return changed;
}

template <typename Items> void copyNewer(const Items& known, state::revision after, Items& to)
{
    for (const auto& [key, item] : known) {
        if (item.revisionNumber > after)
            to[key] = item;
    }
}

template <typename Items> void dropTombstones(Items& items)
{
    std::erase_if(items, [](const auto& entry) { return !entry.second.value; });
}

published_fleet withoutTombstones(published_fleet fleet)
{
    dropTombstones(fleet.servers);
    dropTombstones(fleet.evacuations);
    return fleet;
}

void pruneTombstones(published_fleet& known)
{
    const auto isTombstone = [](const auto& entry) { return !entry.second.value; };
    const auto count = std::count_if(known.servers.begin(), known.servers.end(), isTombstone);
    if (count <= maxTombstones)
        return;
    known = withoutTombstones(std::move(known));
    known.tombstonesSince = known.asOf;
}

} // namespace

merge_result mergeDelta(published_fleet& known, const fleet_delta& delta)
{
    const auto& read = delta.changes;
    if (!delta.snapshot && delta.after > known.asOf)
        return {};
    if (delta.snapshot && read.asOf < known.asOf)
        return {};
    if (read.config.revisionNumber > known.config.revisionNumber && lacksTeams(known.config, read.config))
        return {}; // nothing is applied, so that the fleet is read again from a host that relays teams
    const bool hasChanges = delta.configChanges && delta.configChanges->revisionNumber > known.config.revisionNumber;
    if (hasChanges && !mergeConfigurationChanges(known.config, *delta.configChanges))
        return {};
    merge_result result { true, hasChanges };
    result.changed |= mergeConfiguration(known.config, read.config);
    result.changed |= mergeItems(known.servers, read.servers);
    result.changed |= mergeItems(known.evacuations, read.evacuations);
    if (delta.snapshot) {
        result.changed |= removeMissing(known.servers, read.servers, read.asOf);
        result.changed |= removeMissing(known.evacuations, read.evacuations, read.asOf);
    }
    known.asOf = std::max(known.asOf, read.asOf);
    if (delta.snapshot)
        known.tombstonesSince = known.asOf;
    else
        pruneTombstones(known);
    return result;
}

fleet_delta makeDelta(const published_fleet& known, state::revision after)
{
    if (after < known.tombstonesSince || after > known.asOf)
        return { true, 0, withoutTombstones(known), {} };
    fleet_delta delta { false, after, {}, {} };
    delta.changes.asOf = known.asOf;
    if (known.config.revisionNumber > after) {
        delta.configChanges = makeConfigurationChanges(known.config, after);
        if (!delta.configChanges)
            delta.changes.config = known.config;
    }
    copyNewer(known.servers, after, delta.changes.servers);
    copyNewer(known.evacuations, after, delta.changes.evacuations);
    return delta;
}

} // namespace acaciaslip::coordination::gateway
