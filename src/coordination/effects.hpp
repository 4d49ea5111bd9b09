#pragma once

#include "coordination/events.hpp"
#include "state/identifiers.hpp"
#include "state/peer_message.hpp"
#include "state/request_ledger.hpp"
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
    state::time_point deadline; ///< the caller's
    state::time_point actBefore; ///< the decision is stale from here on: write no first byte
    std::uint32_t connectionShare = 0; ///< connections this node may hold to the server
    state::payload_pointer body;
};

/// Whether an attempt's first byte may still be written.
[[nodiscard]] constexpr bool mayWriteFirstByte(const send_attempt& send, state::time_point now) noexcept
{
    return now < send.deadline && now < send.actBefore;
}

/// Stop an attempt whose answer nobody waits for.
struct cancel_attempt {
    state::attempt_id id {};
};

/// Give the caller a server's answer.
struct answer_caller {
    state::request_id id {};
    state::host_id server;
    std::uint32_t attempts = 0;
    bool closeConnection = false; ///< this node is leaving: ask the caller to connect anew
    state::payload_pointer answer;
};

/// Tell the caller that there is no server's answer, and what is known.
struct refuse_caller {
    state::request_id id {};
    state::refusal_reason reason = state::refusal_reason::no_server;
    state::verdict outcome = state::verdict::not_run;
    std::uint32_t attempts = 0;
    state::duration retryAfter {};
    bool closeConnection = false; ///< this node is leaving: ask the caller to connect anew
};

/// Read a server's health or load endpoint.
struct probe_server {
    state::host_id server;
    std::string address;
    probe_kind kind = probe_kind::health;
};

/// Send a datagram to another node.
struct tell_peer {
    std::string address;
    state::peer_message message;
};

/// Read a published value.
struct fetch_value {
    state::value_key key;
    state::revision after = 0;
    state::value_source source = state::value_source::platform;
    std::string address;
    state::duration wait {}; ///< how long the other side may hold the read
    state::time_point askedAt; ///< handed back with the answer
};

/// Answer another node's request for a value.
struct serve_value {
    std::uint64_t token = 0;
    state::value_key key;
    state::revision number = 0; ///< 0: nothing newer here
    std::string body;
};

/// How much an event matters to a person.
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

/// Nothing is in progress and the planned stop is over: the process may exit.
struct node_stopped { };

/// Everything that a node may ask of transport.
using effect = std::variant<send_attempt, cancel_attempt, answer_caller, refuse_caller, probe_server, tell_peer,
    fetch_value, serve_value, log_event, node_stopped>;

/// Effects in the order in which they are to happen.
using effect_list = std::vector<effect>;

} // namespace acaciaslip::coordination
