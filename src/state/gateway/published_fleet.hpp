#pragma once

#include "state/gateway/configuration.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::state::gateway {

/// Registration of a backend server.
struct server_entry {
    host_id id;
    std::string service;
    std::string address; ///< "ip:port"
    data_centre_id dataCentre;
    std::uint32_t slots = 1; ///< number of requests that it runs concurrently
    bool draining = false;
    duration coldRemaining {}; ///< remaining cold period when the entry was written
    std::int64_t startedAtUnixMs = 0; ///< distinguishes restarts under one id; 0: unknown

    [[nodiscard]] bool operator==(const server_entry&) const = default;
};

/// A published item with its revision. An item without a value was removed.
template <typename Value> struct versioned {
    revision revisionNumber = 0;
    std::optional<Value> value;

    [[nodiscard]] bool operator==(const versioned&) const = default;
};

/// Marks a data centre that must receive no requests. Has no content of its own.
struct evacuation {
    [[nodiscard]] bool operator==(const evacuation&) const = default;
};

/// Identifies a route within a configuration.
struct route_key {
    std::string host;
    std::string pathPrefix;

    [[nodiscard]] auto operator<=>(const route_key&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// The revisions at which the parts of a configuration have last changed, or later ones.
struct configuration_history {
    revision since = 0; ///< every change after this revision is known
    revision services = 0;
    std::vector<revision> routes; ///< in the order of the configuration's routes
    std::map<route_key, revision> removedRoutes;
    std::vector<revision> teams {}; ///< in the order of the configuration's teams
    std::map<std::string, revision> removedTeams {}; ///< by name

    [[nodiscard]] bool operator==(const configuration_history&) const = default;
};

/// The published configuration. A removal of the item leaves the latest configuration in force.
struct published_configuration {
    revision revisionNumber = 0;
    std::optional<configuration> value; ///< its routes and teams are sorted, unless it has just been read
    configuration_history history {}; ///< kept by `mergeDelta`
    bool hasTeams = true; ///< false: received from an older host, which relays no teams

    [[nodiscard]] bool operator==(const published_configuration&) const = default;
};

/// The parts in which a configuration differs from earlier ones.
struct configuration_changes {
    revision revisionNumber = 0;
    std::uint32_t version = 0;
    caller_limits limits;
    std::optional<std::vector<service>> services; ///< all of them, if any has changed
    std::vector<route> routes; ///< added and changed ones
    std::vector<route_key> removedRoutes;
    std::vector<team> teams {}; ///< added and changed ones
    std::vector<std::string> removedTeams {}; ///< names
    /// Digest of the routes, services and teams that result. The sender may have missed a change that was undone later.
    std::uint64_t digest = 0;

    [[nodiscard]] bool operator==(const configuration_changes&) const = default;
};

/// All published items as of one revision. Removed items are kept as tombstones until a snapshot replaces them.
struct published_fleet {
    revision asOf = 0; ///< every change up to this revision is included; 0: nothing was read yet
    revision tombstonesSince = 0; ///< every removal after this revision is known
    published_configuration config;
    std::map<host_id, versioned<server_entry>> servers;
    std::map<data_centre_id, versioned<evacuation>> evacuations;

    [[nodiscard]] bool operator==(const published_fleet&) const = default;
};

/// The changes between two revisions or, as a snapshot, all items.
struct fleet_delta {
    bool snapshot = false; ///< items that it does not contain do not exist
    revision after = 0; ///< the delta contains every change after this revision
    published_fleet changes;
    std::optional<configuration_changes> configChanges {}; ///< instead of a whole configuration

    [[nodiscard]] bool operator==(const fleet_delta&) const = default;
};

} // namespace acaciaslip::state::gateway
