#pragma once

#include "state/peer_message.hpp"
#include "state/request_table.hpp"
#include "state/value_table.hpp"
#include "state/verdict.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace acaciaslip::coordination {

/// A caller's request has been received completely.
struct request_arrived {
    state::request_id id {};
    std::string host; ///< the Host header, without port
    std::string path;
    bool idempotentMethod = false; ///< GET, HEAD, PUT, DELETE or OPTIONS
    std::string idempotencyKey;
    std::optional<state::duration> timeout; ///< from the Request-Timeout-Ms header
    state::payload_pointer body;
};

/// The caller of a request in progress has closed its connection.
struct caller_disconnected {
    state::request_id id {};
};

/// An attempt has ended.
struct attempt_finished {
    state::attempt_id id {};
    state::attempt_outcome outcome = state::attempt_outcome::answered;
    int status = 0; ///< HTTP status of the server's response; 0 without a response
    state::payload_pointer answer; ///< the response; set only when the outcome is `answered`
};

/// Which endpoint of a server a probe reads.
enum class probe_kind { health, load };

inline constexpr std::array<state::enum_name<probe_kind>, 2> probeKindNames { {
    { probe_kind::health, "health" },
    { probe_kind::load, "load" },
} };

/// The state that a server's health endpoint reports.
enum class reported_health { live, cold, draining };

inline constexpr std::array<state::enum_name<reported_health>, 3> reportedHealthNames { {
    { reported_health::live, "live" },
    { reported_health::cold, "cold" },
    { reported_health::draining, "draining" },
} };

/// The load that a server's load endpoint reports.
struct reported_load {
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::string bootId;
};

/// A probe has ended.
struct probe_finished {
    state::host_id server;
    bool answered = false;
    std::optional<reported_health> health;
    std::optional<reported_load> load;
};

/// A datagram has arrived from another node.
struct peer_message_received {
    std::string fromAddress; ///< "ip:port" of the sender
    state::peer_message message;
};

/// A datagram was dropped because it could not be decoded as a message of this protocol version.
struct datagram_rejected {
    std::uint32_t bytes = 0; ///< payload size
};

/// A read of a published value has succeeded; the value may be unchanged.
struct value_received {
    state::value_key key;
    state::revision number = 0; ///< 0: unchanged, or the key does not exist
    std::string body;
    state::value_source source = state::value_source::platform;
    std::string fromAddress;
    state::time_point requestedAt; ///< when the read was requested
};

/// A read of a published value has failed.
struct value_read_failed {
    state::value_key key;
    state::value_source source = state::value_source::platform;
    std::string fromAddress;
    state::time_point requestedAt; ///< when the read was requested
};

/// Another node has requested a published value over TCP.
struct value_requested {
    std::uint64_t replyToken = 0; ///< opaque to the node; returned to transport in `reply_with_value`
    state::value_key key;
    state::revision after = 0;
};

/// The periodic timer has expired.
struct tick { };

/// An operator or SIGTERM has requested a graceful shutdown.
struct drain_requested { };

/// All events that a node handles.
using event
    = std::variant<request_arrived, caller_disconnected, attempt_finished, probe_finished, peer_message_received,
        datagram_rejected, value_received, value_read_failed, value_requested, tick, drain_requested>;

} // namespace acaciaslip::coordination
