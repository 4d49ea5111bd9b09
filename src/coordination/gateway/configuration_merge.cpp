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

/// Removed routes that are remembered; hosts that lag further receive the whole configuration.
constexpr std::size_t maxRemovedRoutes = 4096;

route_key keyOf(const route& of)
{
    return { of.host, of.pathPrefix };
}

bool isBefore(const route& left, const route& right)
{
    return std::tie(left.host, left.pathPrefix) < std::tie(right.host, right.pathPrefix);
}

bool isSameKey(const route& left, const route& right)
{
    return left.host == right.host && left.pathPrefix == right.pathPrefix;
}

/// Sorts routes by key. Of several with the same key only the first one is ever used.
void sortRoutes(std::vector<route>& routes)
{
    std::stable_sort(routes.begin(), routes.end(), isBefore);
    routes.erase(std::unique(routes.begin(), routes.end(), isSameKey), routes.end());
}

/// Whether a change has a newer revision, and not an older version in spite of it.
bool isNewer(const published_configuration& known, state::revision number, std::uint32_t version)
{
    return number > known.revisionNumber && !(known.value && version < known.value->version);
}

/// Records the differences between two configurations whose routes are sorted.
configuration_history compare(const published_configuration& before, const configuration& after, state::revision number)
{
    auto history = before.history;
    const auto& known = before.value->routes;
    if (before.value->services != after.services)
        history.services = number;
    history.routes.clear();
    auto position = known.begin();
    const auto remove = [&] { history.removedRoutes[keyOf(*position++)] = number; };
    for (const auto& next : after.routes) {
        while (position != known.end() && isBefore(*position, next))
            remove();
        const bool kept = position != known.end() && isSameKey(*position, next);
        const bool same = kept && *position == next;
        history.routes.push_back(
            same ? before.history.routes[static_cast<std::size_t>(position - known.begin())] : number);
        if (kept)
            ++position;
        else
            history.removedRoutes.erase(keyOf(next));
    }
    while (position != known.end())
        remove();
    if (history.removedRoutes.size() > maxRemovedRoutes) {
        history.removedRoutes.clear();
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
    }
    for (const auto& service : of.services) {
        hash.add(service.name);
        hash.add(service.healthPath);
        hash.add(std::uint64_t { service.maxConnections });
        hash.add(service.coldStart);
        hash.add(std::bit_cast<std::uint64_t>(service.coldRequestsPerSecond));
    }
    return hash.result();
}

void replace(published_configuration& known, configuration value, state::revision number)
{
    if (known.value)
        known.history = compare(known, value, number);
    else
        known.history = { number, number, std::vector<state::revision>(value.routes.size(), number), {} };
    known.value = std::move(value);
    known.revisionNumber = number;
}

} // namespace

bool mergeConfiguration(published_configuration& known, const published_configuration& read)
{
    if (!read.value || !isNewer(known, read.revisionNumber, read.value->version))
        return false;
    auto value = *read.value;
    sortRoutes(value.routes);
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
    const auto& gone = changes.removedRoutes;
    std::erase_if(value.routes,
        [&](const route& kept) { return std::find(gone.begin(), gone.end(), keyOf(kept)) != gone.end(); });
    // Changed routes come first, so that they replace the known ones with the same key.
    value.routes.insert(value.routes.begin(), changes.routes.begin(), changes.routes.end());
    sortRoutes(value.routes);
    if (digest(value) != changes.digest)
        return false;
    replace(known, std::move(value), changes.revisionNumber);
    return true;
}

std::optional<configuration_changes> makeConfigurationChanges(
    const published_configuration& known, state::revision after)
{
    if (!known.value || after < known.history.since || known.history.routes.size() != known.value->routes.size())
        return std::nullopt;
    configuration_changes changes;
    changes.revisionNumber = known.revisionNumber;
    changes.version = known.value->version;
    changes.limits = known.value->limits;
    if (known.history.services > after)
        changes.services = known.value->services;
    for (std::size_t index = 0; index < known.value->routes.size(); ++index) {
        if (known.history.routes[index] > after)
            changes.routes.push_back(known.value->routes[index]);
    }
    for (const auto& [key, number] : known.history.removedRoutes) {
        if (number > after)
            changes.removedRoutes.push_back(key);
    }
    changes.digest = digest(*known.value);
    return changes;
}

std::size_t countConfigurationChanges(const published_configuration& known, state::revision after) noexcept
{
    if (!known.value || known.revisionNumber <= after)
        return 0;
    const auto& history = known.history;
    if (after < history.since)
        return known.value->routes.size() + known.value->services.size();
    const auto isLater = [&](state::revision number) { return number > after; };
    const auto routes = std::count_if(history.routes.begin(), history.routes.end(), isLater);
    const auto removed = std::count_if(history.removedRoutes.begin(), history.removedRoutes.end(),
        [&](const auto& entry) { return isLater(entry.second); });
    return static_cast<std::size_t>(routes + removed) + (isLater(history.services) ? known.value->services.size() : 0);
}

} // namespace acaciaslip::coordination::gateway
