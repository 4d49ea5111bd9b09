#pragma once

#include "coordination/events.hpp"
#include "state/identifiers.hpp"
#include "state/peer_message.hpp"
#include "state/request_table.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace acaciaslip::coordination {

/// Send a request to a server.
struct send_attempt {
    state::attempt_id id {};
    state::host_id server;
    std::string address;
    state::time_point deadline; ///< deadline of the caller's request
    state::time_point sendBefore; ///< the first byte must be written before this time; later the decision is stale
    std::uint32_t connectionLimit = 0; ///< maximum number of connections from this node to the server
    state::payload_pointer body;
};

/// Whether an attempt's first byte may still be written.
[[nodiscard]] constexpr bool mayStartSending(const send_attempt& send, state::time_point now) noexcept
{
    return now < send.deadline && now < send.sendBefore;
}

/// Cancel an attempt whose response is no longer needed.
struct cancel_attempt {
    state::attempt_id id {};
};

/// Send a server's response to the caller.
struct answer_caller {
    state::request_id id {};
    state::host_id server;
    std::uint32_t attempts = 0;
    bool closeConnection = false; ///< this node is leaving: make the caller open a new connection
    state::payload_pointer answer;
};

/// Send the caller an error response that states why there is no server response and whether the request may have run.
struct refuse_caller {
    state::request_id id {};
    state::refusal_reason reason = state::refusal_reason::no_server;
    state::verdict outcome = state::verdict::not_run;
    std::uint32_t attempts = 0;
    state::duration retryAfter {};
    bool closeConnection = false; ///< this node is leaving: make the caller open a new connection
};

/// Probe a server's health or load endpoint.
struct probe_server {
    state::host_id server;
    std::string address;
    probe_kind kind = probe_kind::health;
};

/// Send a datagram to another node.
struct send_peer_message {
    std::string address;
    state::peer_message message;
};

/// Read a published value.
struct fetch_value {
    state::value_key key;
    state::revision after = 0;
    state::value_source source = state::value_source::platform;
    std::string address;
    state::duration wait {}; ///< how long the other side may delay its response (long poll)
    state::time_point requestedAt; ///< returned with the result
};

/// Respond to another node's request for a published value.
struct reply_with_value {
    std::uint64_t replyToken = 0;
    state::value_key key;
    state::revision number = 0; ///< 0: this node has no newer revision
    std::string body;
};

/// Severity of a log event.
enum class log_level { debug, info, warning, error };

inline constexpr std::array<state::enum_name<log_level>, 4> logLevelNames { {
    { log_level::debug, "debug" },
    { log_level::info, "info" },
    { log_level::warning, "warning" },
    { log_level::error, "error" },
} };

/// Write one line to the log.
struct log_event {
    log_level level = log_level::info;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// The graceful shutdown is complete and nothing is in progress: the process may exit.
struct node_stopped { };

/// All effects that a node can request from transport.
using effect = std::variant<send_attempt, cancel_attempt, answer_caller, refuse_caller, probe_server, send_peer_message,
    fetch_value, reply_with_value, log_event, node_stopped>;

/// Effects in the order in which they are to be carried out.
using effect_list = std::vector<effect>;

} // namespace acaciaslip::coordination
