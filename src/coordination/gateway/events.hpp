#pragma once

#include "state/gateway/peer_heartbeat.hpp"
#include "state/gateway/pending_request.hpp"
#include "state/gateway/published_fleet.hpp"
#include "state/gateway/server_state.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

#include <array>
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
    std::optional<state::duration> callerTimeout; ///< the caller's timeout for the response, if it sent one
    state::gateway::request_digests digests {};
    std::optional<std::string> teamKey {}; ///< secret; must not be logged
};

/// The caller of a request in progress has closed its connection.
struct caller_disconnected {
    state::request_id id {};
};

/// Result of a load probe.
enum class probe_outcome {
    healthy,
    unhealthy, ///< the server reports that it is unhealthy or draining
    other_server, ///< a different server now uses the address
    no_answer,
    refused, ///< nothing listens at the address
    no_connection, ///< not probed: this node's share of the server's connections is in use
};

inline constexpr std::array<state::enum_name<probe_outcome>, 6> probeOutcomeNames { {
    { probe_outcome::healthy, "healthy" },
    { probe_outcome::unhealthy, "unhealthy" },
    { probe_outcome::other_server, "other_server" },
    { probe_outcome::no_answer, "no_answer" },
    { probe_outcome::refused, "refused" },
    { probe_outcome::no_connection, "no_connection" },
} };

/// A load probe of a server has finished.
struct probe_finished {
    state::gateway::probe_id id {};
    state::host_id server;
    probe_outcome outcome = probe_outcome::no_answer;
    std::optional<state::gateway::load_report> report; ///< its time is set by the node
    state::duration coldRemaining {};
    state::gateway::limit_report limit;
    state::gateway::back_off_report backOff;
    bool leaving = false; ///< the server says that it is shutting down
};

/// An attempt to run a request on a server has finished.
struct attempt_finished {
    state::attempt_id id {};
    state::attempt_outcome outcome = state::attempt_outcome::cut;
    int status = 0; ///< HTTP status of the server's response; 0 without one
    std::optional<state::gateway::load_report> report; ///< its time is set by the node
    state::gateway::limit_report limit;
    state::gateway::back_off_report backOff;
    bool leaving = false; ///< the server says that it is shutting down
};

/// Source of an update of the published fleet.
enum class fleet_source { store, peer };

inline constexpr std::array<state::enum_name<fleet_source>, 2> fleetSourceNames { {
    { fleet_source::store, "store" },
    { fleet_source::peer, "peer" },
} };

/// Published items were read from the store or from a peer.
struct fleet_update_received {
    state::gateway::fleet_delta delta;
    fleet_source source = fleet_source::store;
};

/// The store has given a usable answer, and what it contained was posted before. It is posted for every such answer.
struct store_answered { };

/// The store stopped responding.
struct store_lost {
    std::string reason;
    state::duration silentFor {}; ///< time since its last usable answer; zero: it has never answered
};

/// The store responds for the first time since this node began to watch it, or responds again after it was lost.
struct store_recovered { };

/// A heartbeat datagram of another entry host was received.
struct heartbeat_received {
    state::gateway::peer_ip senderIp; ///< source address of the datagram
    state::gateway::peer_heartbeat message;
};

/// How a fetch from a peer has ended.
enum class fetch_outcome {
    received, ///< its data was posted as an event before `fetch_finished`
    redirected, ///< the peer names another one that has the data
    refused, ///< the peer has nothing to give
    unreadable, ///< the peer's answer cannot be decoded
    no_answer, ///< the connection failed or the time was over
};

inline constexpr std::array<state::enum_name<fetch_outcome>, 5> fetchOutcomeNames { {
    { fetch_outcome::received, "received" },
    { fetch_outcome::redirected, "redirected" },
    { fetch_outcome::refused, "refused" },
    { fetch_outcome::unreadable, "unreadable" },
    { fetch_outcome::no_answer, "no_answer" },
} };

/// A fetch from a peer has finished.
struct fetch_finished {
    fetch_outcome outcome = fetch_outcome::received;
    std::uint64_t bytes = 0; ///< received, also of an incomplete answer
    state::gateway::peer_ip next; ///< peer to ask instead, if redirected
};

/// Another host asks for changes of the published fleet.
struct fetch_requested {
    state::gateway::fetch_id id {};
    state::gateway::peer_ip ip; ///< address of the other host; empty if it does not tell
    state::revision after = 0; ///< everything up to this revision is known there
    bool readsChanges = true; ///< false: it is older than `configuration_changes` and needs whole configurations
};

/// The connection of another host's fetch has ended.
struct fetch_served {
    state::gateway::fetch_id id {};
    bool complete = false; ///< the other host has received the whole answer
};

/// A graceful shutdown of the process was requested.
struct stop_requested { };

/// The time returned by `nextWakeUp` was reached.
struct timer_expired { };

/// All events that a node handles.
using event = std::variant<request_arrived, caller_disconnected, probe_finished, attempt_finished,
    fleet_update_received, store_answered, store_lost, store_recovered, heartbeat_received, fetch_finished,
    fetch_requested, fetch_served, stop_requested, timer_expired>;

} // namespace acaciaslip::coordination::gateway
