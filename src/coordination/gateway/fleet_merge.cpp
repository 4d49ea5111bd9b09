#include "coordination/gateway/fleet_merge.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::configuration;
using state::gateway::fleet_delta;
using state::gateway::published_fleet;
using state::gateway::revised;

bool isOlderVersion(const revised<configuration>& known, const revised<configuration>& read)
{
    return known.value && (!read.value || read.value->version < known.value->version);
}

bool mergeConfiguration(revised<configuration>& known, const revised<configuration>& read)
{
    if (read.number <= known.number || isOlderVersion(known, read))
        return false;
    known = read;
    return true;
}

template <typename Items> bool mergeItems(Items& known, const Items& read)
{
    bool changed = false;
    for (const auto& [key, item] : read) {
        auto& kept = known[key];
        if (item.number <= kept.number)
            continue;
        changed |= kept.value != item.value;
        kept = item;
    }
    return changed;
}

/// Removes what a snapshot does not have, unless it is newer than the snapshot.
template <typename Items> bool removeMissing(Items& known, const Items& read, state::revision asOf)
{
    bool changed = false;
    for (auto position = known.begin(); position != known.end();) {
        const auto& [key, item] = *position;
        const bool missing = !read.contains(key) && item.number <= asOf;
        changed |= missing && item.value.has_value();
        position = missing ? known.erase(position) : std::next(position);
    }
    return changed;
}

} // namespace

merge_result mergeDelta(published_fleet& known, const fleet_delta& delta)
{
    const auto& read = delta.changes;
    if (!delta.snapshot && delta.after > known.asOf)
        return {};
    if (delta.snapshot && read.asOf < known.asOf)
        return {};
    merge_result result { true, false };
    if (read.config.number > 0)
        result.changed |= mergeConfiguration(known.config, read.config);
    result.changed |= mergeItems(known.servers, read.servers);
    result.changed |= mergeItems(known.evacuations, read.evacuations);
    if (delta.snapshot) {
        result.changed |= removeMissing(known.servers, read.servers, read.asOf);
        result.changed |= removeMissing(known.evacuations, read.evacuations, read.asOf);
    }
    known.asOf = std::max(known.asOf, read.asOf);
    return result;
}

} // namespace acaciaslip::coordination::gateway
