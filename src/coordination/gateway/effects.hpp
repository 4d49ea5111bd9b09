#pragma once

#include "coordination/effects.hpp"
#include "state/gateway/peer_heartbeat.hpp"
#include "state/gateway/pending_request.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

#include <string>
#include <variant>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Probe a server for its health and load.
struct probe_server {
    state::gateway::probe_id id {};
    state::host_id server;
    std::string address;
    std::string healthPath;
    state::duration timeout {}; ///< time limit of the probe
    std::uint32_t connectionLimit = 0; ///< most connections that this node may hold to the server
};

/// Send a request to a server.
struct send_request {
    state::attempt_id id {};
    state::request_id request {};
    state::host_id server;
    std::string address;
    state::duration timeRemaining {}; ///< remaining time until the request's deadline, as sent to the server
    std::string team {}; ///< name of the caller's team, told to the server; empty: none
};

/// Cancel an attempt whose response is no longer needed.
struct cancel_attempt {
    state::attempt_id id {};
};

/// Send the response of an attempt to the caller.
struct answer_caller {
    state::request_id id {};
    state::attempt_id attempt {};
    bool closeConnection = false; ///< this node is shutting down: the caller should open a new connection
};

/// Refuse the request without a server's response, and report whether it may have run.
struct refuse_caller {
    state::request_id id {};
    state::refusal_reason reason = state::refusal_reason::no_server;
    state::verdict outcome = state::verdict::not_run;
    state::duration retryAfter {}; ///< zero: no Retry-After is sent
    bool closeConnection = false; ///< this node is shutting down: the caller should open a new connection
};

/// Discard the response of an attempt because another response was used.
struct discard_answer {
    state::attempt_id attempt {};
};

/// Send a heartbeat datagram to another entry host.
struct send_peer_message {
    state::gateway::peer_ip ip;
    state::gateway::peer_heartbeat message;
};

/// Fetch the changes of the published fleet from another entry host.
struct fetch_fleet {
    state::gateway::peer_ip ip;
    state::revision after = 0;
    /// The fetch ends when the connection takes longer than this or too few bytes arrive in such a time.
    state::duration patience {};
};

/// Send the changes after a revision to another host that has asked for them.
struct serve_fleet {
    state::gateway::fetch_id id {};
    state::revision after = 0;
    bool readsChanges = true; ///< see `fetch_requested`
};

/// Tell another host that has asked for changes which host to ask instead.
struct redirect_fetch {
    state::gateway::fetch_id id {};
    state::gateway::peer_ip ip;
};

/// Tell another host that has asked for changes that there is nothing to give.
struct refuse_fetch {
    state::gateway::fetch_id id {};
};

/// Start or stop watching the store for changes.
struct watch_store {
    bool follow = true;
    state::revision known = 0; ///< revision that is known already and need not be read again
};

/// A peer has a newer revision although this node watches the store: end the pending watch call and read again.
struct reread_store { };

/// All effects that a node may request from the transport layer.
using effect = std::variant<probe_server, send_request, cancel_attempt, answer_caller, refuse_caller, discard_answer,
    send_peer_message, fetch_fleet, serve_fleet, redirect_fetch, refuse_fetch, watch_store, reread_store, log_event,
    node_stopped>;

/// Effects in the order in which they must be carried out.
using effect_list = std::vector<effect>;

} // namespace acaciaslip::coordination::gateway
