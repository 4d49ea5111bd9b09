#pragma once

#include "state/gateway/peer_heartbeat.hpp"
#include "state/gateway/pending_request.hpp"
#include "state/gateway/published_fleet.hpp"
#include "state/gateway/server_state.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace acaciaslip::coordination::gateway {

/// A caller's request has been received completely.
struct request_arrived {
    state::request_id id {};
    std::string callerRequestId; ///< request id that the caller chose
    std::string host; ///< without port
    std::string path; ///< without query
    std::optional<state::duration> callerWaits; ///< the caller's timeout for the response, if it sent one
};

/// The caller of a request in progress has closed its connection.
struct caller_gone {
    state::request_id id {};
};

/// Result of a load probe.
enum class ask_outcome {
    healthy,
    unhealthy, ///< the server reports that it is unhealthy or draining
    other_server, ///< a different server now uses the address
    no_answer,
    no_connection, ///< not probed: this node's share of the server's connections is in use
};

inline constexpr std::array<state::enum_name<ask_outcome>, 5> askOutcomeNames { {
    { ask_outcome::healthy, "healthy" },
    { ask_outcome::unhealthy, "unhealthy" },
    { ask_outcome::other_server, "other_server" },
    { ask_outcome::no_answer, "no_answer" },
    { ask_outcome::no_connection, "no_connection" },
} };

/// A load probe of a server has finished.
struct ask_finished {
    state::gateway::ask_id id {};
    state::host_id server;
    ask_outcome outcome = ask_outcome::no_answer;
    std::optional<state::gateway::load_report> report; ///< its time is set by the node
    state::duration coldLeft {};
};

/// An attempt to run a request on a server has finished.
struct attempt_finished {
    state::attempt_id id {};
    state::attempt_outcome outcome = state::attempt_outcome::cut;
    int status = 0; ///< HTTP status of the server's response; 0 without one
    std::optional<state::gateway::load_report> report; ///< its time is set by the node
};

/// Source of an update of the published fleet.
enum class fleet_source { store, peer };

inline constexpr std::array<state::enum_name<fleet_source>, 2> fleetSourceNames { {
    { fleet_source::store, "store" },
    { fleet_source::peer, "peer" },
} };

/// Published items were read from the store or from a peer.
struct fleet_published {
    state::gateway::fleet_delta delta;
    fleet_source source = fleet_source::store;
};

/// The store stopped responding.
struct store_lost {
    std::string reason;
};

/// The store responds again.
struct store_regained { };

/// A heartbeat datagram of another entry host was received.
struct peer_heard {
    state::gateway::peer_ip senderIp; ///< source address of the datagram
    state::gateway::peer_heartbeat message;
};

/// A fetch from a peer has finished. Any data that it returned was posted as an event before this one.
struct fetch_ended { };

/// The process was asked to stop.
struct stop_requested { };

/// The time returned by `nextWakeUp` was reached.
struct timer_expired { };

/// All events that a node handles.
using event = std::variant<request_arrived, caller_gone, ask_finished, attempt_finished, fleet_published, store_lost,
    store_regained, peer_heard, fetch_ended, stop_requested, timer_expired>;

} // namespace acaciaslip::coordination::gateway
