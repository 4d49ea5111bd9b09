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

/// Reason for reading a value.
enum class read_purpose {
    start, ///< a starting node reads the newest revision from seeds and peers
    watch, ///< long poll: the platform answers once the value has changed
    safety, ///< periodic poll, in case no peer reports a change
    pull, ///< the index or a peer has named a newer revision than the one held
    refresh, ///< refresh after the process was paused
};

inline constexpr std::array<state::enum_name<read_purpose>, 5> readPurposeNames { {
    { read_purpose::start, "start" },
    { read_purpose::watch, "watch" },
    { read_purpose::safety, "safety" },
    { read_purpose::pull, "pull" },
    { read_purpose::refresh, "refresh" },
} };

/// A read that has not been answered yet.
struct outstanding_read {
    state::value_key key;
    state::value_source source = state::value_source::platform;
    std::string address;
    read_purpose purpose = read_purpose::watch;
    state::time_point requestedAt;
    state::time_point timeoutAt; ///< when it times out and counts as failed
};

/// State of the reads of one value.
struct key_progress {
    state::revision newestKnown = 0; ///< highest revision that the index or a peer has named
    bool platformTried = false; ///< a platform read has ended, successfully or not
    state::time_point nextReadAt; ///< time of the next watch or safety read
    state::time_point nextPullAt; ///< time of the next pull
    state::time_point nextPlatformPullAt; ///< earliest time of the next pull from the platform
    std::uint32_t peersTried = 0; ///< pulls from peers since the last pull from the platform
    std::uint32_t peerMisses = 0; ///< reads from peers without a new revision, since one was last activated
    std::uint32_t platformMisses = 0; ///< the same for reads from the platform
};

/// Token bucket for calls to the platform; a token is one call.
struct call_bucket {
    double tokens = 2;
    state::time_point filledAt;
};

/// State of reading and distributing published values.
struct distribution_state {
    std::map<state::value_key, key_progress> keys;
    std::map<state::value_key, state::revision> indexed; ///< revisions named by the active index
    std::vector<outstanding_read> reads;
    call_bucket platformCalls;
    std::size_t platformIndex = 0; ///< platform address used next, modulo their number
    std::optional<state::time_point> startedAt;
    bool seedsRead = false;
    bool peersRead = false; ///< the startup reads from peers have been started
    state::time_point nextWatcherCheckAt;
    bool watching = false; ///< this node watches the platform for its data centre; shown in the dump
};

} // namespace acaciaslip::coordination
