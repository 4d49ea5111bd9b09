#pragma once

#include "state/peer_message.hpp"
#include "state/request_ledger.hpp"
#include "state/value_table.hpp"
#include "state/verdict.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace acaciaslip::coordination {

/// A caller's request has been read whole.
struct request_arrived {
    state::request_id id {};
    std::string host; ///< the Host header, without port
    std::string path;
    bool idempotentMethod = false; ///< GET, HEAD, PUT, DELETE or OPTIONS
    std::string idempotencyKey;
    std::optional<state::duration> timeout; ///< from Request-Timeout-Ms
    state::payload_pointer body;
};

/// The caller of a request in progress has closed its connection.
struct caller_gone {
    state::request_id id {};
};

/// An attempt ended.
struct attempt_finished {
    state::attempt_id id {};
    state::attempt_outcome outcome = state::attempt_outcome::answered;
    int status = 0; ///< of the server's answer; 0 without one
    state::payload_pointer answer; ///< set when answered
};

/// Which endpoint of a server a probe reads.
enum class probe_kind { health, load };

inline constexpr std::array<state::enum_name<probe_kind>, 2> probeKindNames { {
    { probe_kind::health, "health" },
    { probe_kind::load, "load" },
} };

/// What a server's health endpoint said of itself.
enum class reported_health { live, cold, draining };

inline constexpr std::array<state::enum_name<reported_health>, 3> reportedHealthNames { {
    { reported_health::live, "live" },
    { reported_health::cold, "cold" },
    { reported_health::draining, "draining" },
} };

/// What a server's load endpoint said.
struct reported_load {
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::string boot;
};

/// A probe ended.
struct probe_finished {
    state::host_id server;
    bool answered = false;
    std::optional<reported_health> health;
    std::optional<reported_load> load;
};

/// A datagram of another node.
struct peer_message_received {
    std::string fromAddress; ///< "ip:port" that it came from
    state::peer_message message;
};

/// A datagram that is no message of this version: dropped.
struct datagram_refused {
    std::uint32_t bytes = 0; ///< of its payload
};

/// A published value was read, or found unchanged.
struct value_received {
    state::value_key key;
    state::revision number = 0; ///< 0: not changed, or no such key
    std::string body;
    state::value_source source = state::value_source::platform;
    std::string fromAddress;
    state::time_point askedAt; ///< when the read was asked for
};

/// A read of a published value failed.
struct value_read_failed {
    state::value_key key;
    state::value_source source = state::value_source::platform;
    std::string fromAddress;
    state::time_point askedAt; ///< when the read was asked for
};

/// Another node asks for a published value over TCP.
struct value_requested {
    std::uint64_t token = 0; ///< transport's own, handed back
    state::value_key key;
    state::revision after = 0;
};

/// Time has passed.
struct tick { };

/// An operator, or SIGTERM, asked for a planned stop.
struct drain_requested { };

/// Everything that can happen to a node.
using event = std::variant<request_arrived, caller_gone, attempt_finished, probe_finished, peer_message_received,
    datagram_refused, value_received, value_read_failed, value_requested, tick, drain_requested>;

} // namespace acaciaslip::coordination
