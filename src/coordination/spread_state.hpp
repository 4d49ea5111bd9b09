#pragma once

#include "state/enum_names.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"
#include "state/value_table.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::coordination {

/// Why a value is read.
enum class read_purpose {
    start, ///< a node that has just started asks for the newest known
    watch, ///< the platform holds the read until the value changes
    safety, ///< now and then, in case no peer tells of a change
    pull, ///< the index or a peer has named a newer revision
    refresh, ///< the process was paused
};

inline constexpr std::array<state::enum_name<read_purpose>, 5> readPurposeNames { {
    { read_purpose::start, "start" },
    { read_purpose::watch, "watch" },
    { read_purpose::safety, "safety" },
    { read_purpose::pull, "pull" },
    { read_purpose::refresh, "refresh" },
} };

/// A read that is not answered yet.
struct outstanding_read {
    state::value_key key;
    state::value_source source = state::value_source::platform;
    std::string address;
    read_purpose purpose = read_purpose::watch;
    state::time_point askedAt;
    state::time_point givenUpAt; ///< when it is taken for lost
};

/// How far the reads of one value have come.
struct key_progress {
    state::revision newestKnown = 0; ///< the highest that the index or a peer has named
    bool platformAsked = false; ///< the platform has answered or failed once
    state::time_point nextReadAt; ///< of the next watch or safety read
    state::time_point nextPullAt; ///< of the next read for a revision that is known and not held
    state::time_point platformAfter; ///< before which such a read does not go to the platform
    std::uint32_t peersTried = 0; ///< since the platform was last tried
    std::uint32_t peerMisses = 0; ///< reads in a row in which a peer had nothing newer
    std::uint32_t platformMisses = 0; ///< likewise of the platform
};

/// Calls that a node may still make to the platform.
struct call_bucket {
    double tokens = 2;
    state::time_point filledAt;
};

/// State of the reads of published values.
struct spread_state {
    std::map<state::value_key, key_progress> keys;
    std::map<state::value_key, state::revision> indexed; ///< what the index in force names
    std::vector<outstanding_read> reads;
    call_bucket platformCalls;
    std::size_t platformChoice = 0; ///< which platform address is tried next
    std::optional<state::time_point> startedAt;
    bool seedsAsked = false;
    bool peersAsked = false; ///< at the start
    state::time_point nextWatcherCheckAt;
    bool watching = false; ///< this node is one of its data centre's watchers, for the dump
};

} // namespace acaciaslip::coordination
