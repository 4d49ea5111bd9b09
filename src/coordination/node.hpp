#pragma once

#include "coordination/distribution_state.hpp"
#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "coordination/peer_messaging.hpp"
#include "coordination/permits.hpp"
#include "coordination/server_checks.hpp"
#include "coordination/server_tags.hpp"
#include "coordination/state_refresh.hpp"
#include "state/duration_histogram.hpp"
#include "state/fleet.hpp"
#include "state/node_settings.hpp"
#include "state/peer_table.hpp"
#include "state/request_table.hpp"
#include "state/value_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace acaciaslip::coordination {

/// Parses and validates all published values together.
///
/// Maps the bodies by key to the settings that result from activating them, or to an error. It must be a pure function:
/// the same bodies always give the same result.
using settings_reader
    = std::function<absl::StatusOr<state::fleet_settings>(const std::map<state::value_key, std::string>&)>;

/// The phases of a node's life cycle.
enum class node_phase {
    starting, ///< no settings received yet
    serving,
    lame_duck, ///< has announced its shutdown; still accepts new requests
    draining, ///< refuses new requests; completes those in progress
    stopped,
};

inline constexpr std::array<state::enum_name<node_phase>, 5> nodePhaseNames { {
    { node_phase::starting, "starting" },
    { node_phase::serving, "serving" },
    { node_phase::lame_duck, "lame_duck" },
    { node_phase::draining, "draining" },
    { node_phase::stopped, "stopped" },
} };

/// Counters since the node started, exported by the metrics and the dump.
struct node_counters {
    std::map<state::verdict, std::uint64_t> requestsByVerdict;
    std::map<state::refusal_reason, std::uint64_t> refusals;
    std::map<state::attempt_outcome, std::uint64_t> attemptsByOutcome;
    std::map<state::verdict, state::duration_histogram> durationByVerdict; ///< from arrival to the end of the request
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t callersDisconnected = 0; ///< callers that disconnected before their request ended
    std::uint64_t probes = 0;
    std::uint64_t platformReads = 0;
    std::uint64_t peerMessagesSent = 0;
    std::uint64_t peerMessagesAccepted = 0;
    std::uint64_t peerMessagesDropped = 0; ///< sum of the three counters below
    std::uint64_t peerMessagesFromUnknown = 0; ///< from a host id or address neither listed nor introduced by a peer
    std::uint64_t peerMessagesReplayed = 0; ///< stale, duplicated or out of order
    std::uint64_t datagramsRejected = 0; ///< not decodable as a message
    std::uint64_t controlBytesSent = 0; ///< datagrams including IP and UDP headers, upper bound
    std::uint64_t controlBytesReceived = 0; ///< datagrams including IP and UDP headers, upper bound
    std::uint64_t valueBytesReceived = 0; ///< bodies of published values received from peers and the platform
    std::uint64_t valueBytesServed = 0; ///< bodies of published values sent to peers
    std::uint64_t peerReads = 0; ///< published values requested from peers
    std::uint64_t processPauses = 0; ///< process pauses after which the node's state was treated as stale
};

/// The complete state of one node: plain data, modified only by `handle`.
struct node {
    state::node_settings settings;
    std::uint64_t incarnation = 0;
    settings_reader readSettings;

    node_phase phase = node_phase::starting;
    state::time_point phaseSince;
    state::time_point lastEventAt;
    std::optional<state::time_point> staleSince; ///< set after a process pause, while the state may be stale

    state::value_table values;
    state::fleet fleet;
    server_tags serverTags;
    state::request_table requests;
    state::peer_table peers;
    std::uint64_t nextSequence = 1;
    peer_messaging_state peerMessaging;
    distribution_state distribution;
    permit_state permits;
    server_check_state serverChecks;
    refresh_state refresh;
    node_counters counters;
};

/// Creates a node that has not handled any event yet.
/// \param settings settings of this host only
/// \param incarnation increases with every start of this host
/// \param reader parses and validates published values
[[nodiscard]] node makeNode(state::node_settings settings, std::uint64_t incarnation, settings_reader reader);

/// The only entry point: handles an event, updates the node and appends the resulting effects.
/// \param now the time at which the event is handled; must never decrease
/// \param random source of all random choices
/// \param effects the resulting effects are appended here
void handle(node& self, const event& received, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
