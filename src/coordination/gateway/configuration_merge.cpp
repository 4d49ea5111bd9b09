#include "coordination/gateway/configuration_merge.hpp"

#include <algorithm>
#include <bit>
#include <chrono>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::configuration;
using state::gateway::configuration_changes;
using state::gateway::configuration_history;
using state::gateway::published_configuration;
using state::gateway::route;
using state::gateway::route_key;
using state::gateway::team;

/// Removed routes, and removed teams, that are remembered; hosts that lag further receive the whole configuration.
constexpr std::size_t maxRemovedParts = 4096;

route_key keyOf(const route& of)
{
    return { of.host, of.pathPrefix };
}

const std::string& keyOf(const team& of)
{
    return of.name;
}

bool isBefore(const route& left, const route& right)
{
    return std::tie(left.host, left.pathPrefix) < std::tie(right.host, right.pathPrefix);
}

bool isBefore(const team& left, const team& right)
{
    return left.name < right.name;
}

/// Sorts routes or teams by key. Of several with the same key only the first one is ever used.
template <typename Part> void sortParts(std::vector<Part>& parts)
{
    std::stable_sort(
        parts.begin(), parts.end(), [](const Part& left, const Part& right) { return isBefore(left, right); });
    const auto last = std::unique(
        parts.begin(), parts.end(), [](const Part& left, const Part& right) { return keyOf(left) == keyOf(right); });
    parts.erase(last, parts.end());
}

void sortParts(configuration& of)
{
    sortParts(of.routes);
    sortParts(of.teams);
}

/// Whether a change has a newer revision, and not an older version in spite of it.
bool isNewer(const published_configuration& known, state::revision number, std::uint32_t version)
{
    return number > known.revisionNumber && !(known.value && version < known.value->version);
}

/// Records the differences between two sorted lists.
/// \param numbers revisions of the known parts; receives those of the later ones
/// \param removed receives the parts that are missing in the later list
template <typename Part, typename Removed>
void compare(const std::vector<Part>& known, const std::vector<Part>& later, state::revision number,
    std::vector<state::revision>& numbers, Removed& removed)
{
    const auto before = std::exchange(numbers, {});
    auto position = known.begin();
    const auto remove = [&] { removed[keyOf(*position++)] = number; };
    for (const auto& next : later) {
        while (position != known.end() && isBefore(*position, next))
            remove();
        const bool kept = position != known.end() && keyOf(*position) == keyOf(next);
        const bool same = kept && *position == next;
        numbers.push_back(same ? before[static_cast<std::size_t>(position - known.begin())] : number);
        if (kept)
            ++position;
        else
            removed.erase(keyOf(next));
    }
    while (position != known.end())
        remove();
}

/// Records the differences between two configurations whose routes and teams are sorted.
configuration_history compare(const published_configuration& before, const configuration& after, state::revision number)
{
    auto history = before.history;
    if (before.value->services != after.services)
        history.services = number;
    compare(before.value->routes, after.routes, number, history.routes, history.removedRoutes);
    compare(before.value->teams, after.teams, number, history.teams, history.removedTeams);
    if (history.removedRoutes.size() > maxRemovedParts || history.removedTeams.size() > maxRemovedParts) {
        history.removedRoutes.clear();
        history.removedTeams.clear();
        history.since = number;
    }
    return history;
}

/// Hashes fields one by one, so that the result does not depend on the layout of the structs.
class field_hash {
public:
    field_hash() { XXH3_64bits_reset(m_state.get()); }

    void add(std::uint64_t number) { XXH3_64bits_update(m_state.get(), &number, sizeof number); }
    void add(const std::string& text)
    {
        add(text.size());
        XXH3_64bits_update(m_state.get(), text.data(), text.size());
    }
    /// Durations are sent in microseconds.
    void add(state::duration span)
    {
        add(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(span).count()));
    }

    [[nodiscard]] std::uint64_t result() const { return XXH3_64bits_digest(m_state.get()); }

private:
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> m_state { XXH3_createState(), &XXH3_freeState };
};

void addTeam(field_hash& hash, const team& added)
{
    hash.add(std::string("team"));
    hash.add(added.name);
    hash.add(std::uint64_t { added.keys.size() });
    for (const auto& key : added.keys)
        hash.add(key);
    hash.add(std::uint64_t { added.priority.has_value() });
    hash.add(std::uint64_t { added.priority.value_or(0) });
    hash.add(std::bit_cast<std::uint64_t>(added.ratePerSecond));
    hash.add(std::bit_cast<std::uint64_t>(added.burst));
}

std::uint64_t digest(const configuration& of)
{
    field_hash hash;
    for (const auto& route : of.routes) {
        hash.add(route.name);
        hash.add(route.host);
        hash.add(route.pathPrefix);
        hash.add(static_cast<std::uint64_t>(route.kind));
        hash.add(route.objective);
        hash.add(route.timeout);
        hash.add(std::uint64_t { route.attempts });
        hash.add(std::uint64_t { route.priority });
        for (const auto& part : route.split) {
            hash.add(part.service);
            hash.add(std::uint64_t { part.weight });
        }
        // Hosts of earlier releases know neither this field nor teams, so nothing is hashed where they are unused.
        if (route.anonymous)
            hash.add(std::string("anonymous"));
    }
    for (const auto& service : of.services) {
        hash.add(service.name);
        hash.add(service.healthPath);
        hash.add(std::uint64_t { service.maxConnections });
        hash.add(service.coldStart);
        hash.add(std::bit_cast<std::uint64_t>(service.coldRequestsPerSecond));
    }
    for (const auto& team : of.teams)
        addTeam(hash, team);
    return hash.result();
}

void replace(published_configuration& known, configuration value, state::revision number)
{
    if (known.value)
        known.history = compare(known, value, number);
    else
        known.history = { number, number, std::vector<state::revision>(value.routes.size(), number), {},
            std::vector<state::revision>(value.teams.size(), number), {} };
    known.value = std::move(value);
    known.revisionNumber = number;
}

/// Replaces and removes parts of a sorted list.
template <typename Part, typename Key>
void applyParts(std::vector<Part>& parts, const std::vector<Part>& changed, std::vector<Key> gone)
{
    std::sort(gone.begin(), gone.end());
    std::erase_if(parts, [&](const Part& kept) { return std::binary_search(gone.begin(), gone.end(), keyOf(kept)); });
    // Changed parts come first, so that they replace the known ones with the same key.
    parts.insert(parts.begin(), changed.begin(), changed.end());
    sortParts(parts);
}

/// Collects the parts that have changed after a revision.
template <typename Part, typename Removed, typename Key>
void collectParts(const std::vector<Part>& parts, const std::vector<state::revision>& numbers, const Removed& removed,
    state::revision after, std::vector<Part>& changed, std::vector<Key>& gone)
{
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (numbers[index] > after)
            changed.push_back(parts[index]);
    }
    for (const auto& [key, number] : removed) {
        if (number > after)
            gone.push_back(key);
    }
}

std::size_t countLater(const std::vector<state::revision>& numbers, state::revision after) noexcept
{
    return static_cast<std::size_t>(
        std::count_if(numbers.begin(), numbers.end(), [&](state::revision number) { return number > after; }));
}

template <typename Removed> std::size_t countLater(const Removed& removed, state::revision after) noexcept
{
    return static_cast<std::size_t>(
        std::count_if(removed.begin(), removed.end(), [&](const auto& entry) { return entry.second > after; }));
}

} // namespace

bool lacksTeams(const published_configuration& known, const published_configuration& read) noexcept
{
    return read.value && !read.hasTeams && known.value && !known.value->teams.empty();
}

bool mergeConfiguration(published_configuration& known, const published_configuration& read)
{
    if (lacksTeams(known, read))
        return false;
    if (!read.value || !isNewer(known, read.revisionNumber, read.value->version))
        return false;
    auto value = *read.value;
    sortParts(value);
    replace(known, std::move(value), read.revisionNumber);
    return true;
}

bool mergeConfigurationChanges(published_configuration& known, const configuration_changes& changes)
{
    if (!known.value || !isNewer(known, changes.revisionNumber, changes.version))
        return false;
    auto value = *known.value;
    value.version = changes.version;
    value.limits = changes.limits;
    if (changes.services)
        value.services = *changes.services;
    applyParts(value.routes, changes.routes, changes.removedRoutes);
    applyParts(value.teams, changes.teams, changes.removedTeams);
    if (digest(value) != changes.digest)
        return false;
    replace(known, std::move(value), changes.revisionNumber);
    return true;
}

std::optional<configuration_changes> makeConfigurationChanges(
    const published_configuration& known, state::revision after)
{
    const auto& history = known.history;
    if (!known.value || after < history.since || history.routes.size() != known.value->routes.size()
        || history.teams.size() != known.value->teams.size())
        return std::nullopt;
    configuration_changes changes;
    changes.revisionNumber = known.revisionNumber;
    changes.version = known.value->version;
    changes.limits = known.value->limits;
    if (history.services > after)
        changes.services = known.value->services;
    collectParts(
        known.value->routes, history.routes, history.removedRoutes, after, changes.routes, changes.removedRoutes);
    collectParts(known.value->teams, history.teams, history.removedTeams, after, changes.teams, changes.removedTeams);
    changes.digest = digest(*known.value);
    return changes;
}

std::size_t countConfigurationChanges(const published_configuration& known, state::revision after) noexcept
{
    if (!known.value || known.revisionNumber <= after)
        return 0;
    const auto& history = known.history;
    if (after < history.since)
        return known.value->routes.size() + known.value->services.size() + known.value->teams.size();
    return countLater(history.routes, after) + countLater(history.removedRoutes, after)
        + countLater(history.teams, after) + countLater(history.removedTeams, after)
        + (history.services > after ? known.value->services.size() : 0);
}

} // namespace acaciaslip::coordination::gateway
