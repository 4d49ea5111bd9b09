#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/freshness.hpp"
#include "coordination/peer_telling.hpp"
#include "coordination/permits.hpp"
#include "coordination/server_review.hpp"
#include "coordination/server_tags.hpp"
#include "coordination/spread_state.hpp"
#include "state/duration_histogram.hpp"
#include "state/fleet.hpp"
#include "state/node_settings.hpp"
#include "state/peer_table.hpp"
#include "state/request_ledger.hpp"
#include "state/value_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace acaciaslip::coordination {

/// Reads and checks all published values together.
///
/// Given bodies by key, gives what would be in force. Pure: the same bodies give the same result.
using settings_reader
    = std::function<absl::StatusOr<state::fleet_settings>(const std::map<state::value_key, std::string>&)>;

/// The stages of a node's life.
enum class node_phase {
    starting, ///< no settings yet
    serving,
    lame_duck, ///< says that it is leaving; still takes work
    draining, ///< takes no new work; finishes what is in progress
    stopped,
};

inline constexpr std::array<state::enum_name<node_phase>, 5> nodePhaseNames { {
    { node_phase::starting, "starting" },
    { node_phase::serving, "serving" },
    { node_phase::lame_duck, "lame_duck" },
    { node_phase::draining, "draining" },
    { node_phase::stopped, "stopped" },
} };

/// What a node has counted since it started. Read by the metrics and the dump.
struct node_counters {
    std::map<state::verdict, std::uint64_t> requestsByVerdict;
    std::map<state::refusal_reason, std::uint64_t> refusals;
    std::map<state::attempt_outcome, std::uint64_t> attemptsByOutcome;
    std::map<state::verdict, state::duration_histogram> durationByVerdict; ///< from arrival to outcome
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t callersGone = 0; ///< callers that closed before their request ended
    std::uint64_t probes = 0;
    std::uint64_t platformReads = 0;
    std::uint64_t peerMessagesSent = 0;
    std::uint64_t peerMessagesTaken = 0;
    std::uint64_t peerMessagesDropped = 0; ///< all of the three kinds below
    std::uint64_t peerMessagesUnknown = 0; ///< of a host or an address that is not listed or vouched for
    std::uint64_t peerMessagesReplayed = 0; ///< old, doubled or out of order
    std::uint64_t datagramsRefused = 0; ///< not readable as a message
    std::uint64_t controlBytesSent = 0; ///< datagrams with IP and UDP headers, upper bound
    std::uint64_t controlBytesReceived = 0; ///< datagrams with IP and UDP headers, upper bound
    std::uint64_t valueBytesReceived = 0; ///< bodies of published values, from peers and the platform
    std::uint64_t valueBytesServed = 0; ///< bodies of published values, to peers
    std::uint64_t peerReads = 0; ///< reads of published values from peers
    std::uint64_t pauses = 0; ///< gaps in the clock that made the picture suspect
};

/// One whole node: plain data, changed only by `handle`.
struct node {
    state::node_settings settings;
    std::uint64_t incarnation = 0;
    settings_reader readSettings;

    node_phase phase = node_phase::starting;
    state::time_point phaseSince;
    state::time_point lastEventAt;
    std::optional<state::time_point> suspectSince; ///< the picture may be old: the process was paused

    state::value_table values;
    state::fleet fleet;
    server_tags serverTags;
    state::request_ledger requests;
    state::peer_table peers;
    std::uint64_t nextSequence = 1;
    telling_state telling;
    spread_state spread;
    permit_state permits;
    review_state review;
    freshness_state freshness;
    node_counters counters;
};

/// Makes a node that has seen nothing yet.
/// \param settings what is this host's own
/// \param incarnation rises with every start of this host
/// \param reader checks published values
[[nodiscard]] node makeNode(state::node_settings settings, std::uint64_t incarnation, settings_reader reader);

/// The one door: takes an event, changes the node and says what is to be done.
/// \param now the time at which the event is handled; never goes back
/// \param random draws every random choice
/// \param effects what is to be done is added at its end
void handle(node& self, const event& happened, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
