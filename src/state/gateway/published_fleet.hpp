#pragma once

#include "state/gateway/configuration.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::state::gateway {

/// What a backend server has registered about itself.
struct server_entry {
    host_id id;
    std::string service;
    std::string address; ///< "ip:port"
    data_centre_id dataCentre;
    std::uint32_t slots = 1; ///< requests that it runs at a time
    bool draining = false;
    duration coldLeft {}; ///< how much longer it stays cold, when the entry was written
    std::int64_t startedAtUnixMs = 0; ///< tells two lives under one id apart; 0: not said

    [[nodiscard]] bool operator==(const server_entry&) const = default;
};

/// One published item at a revision; without a value it was removed.
template <typename Value> struct revised {
    revision number = 0;
    std::optional<Value> value;

    [[nodiscard]] bool operator==(const revised&) const = default;
};

/// That a data centre is to be left alone. Has no content of its own.
struct evacuation {
    [[nodiscard]] bool operator==(const evacuation&) const = default;
};

/// Everything that is published, as of one revision. Removed items stay as tombstones until a snapshot replaces them.
struct published_fleet {
    revision asOf = 0; ///< every change up to this one is included; 0: nothing was read yet
    revision tombstonesFrom = 0; ///< every removal after this one is known
    revised<configuration> config;
    std::map<host_id, revised<server_entry>> servers;
    std::map<data_centre_id, revised<evacuation>> evacuations;

    [[nodiscard]] bool operator==(const published_fleet&) const = default;
};

/// Changes between two revisions; or, as a snapshot, everything there is.
struct fleet_delta {
    bool snapshot = false; ///< what is not in it does not exist
    revision after = 0; ///< the delta holds every change after this revision
    published_fleet changes;

    [[nodiscard]] bool operator==(const fleet_delta&) const = default;
};

} // namespace acaciaslip::state::gateway
