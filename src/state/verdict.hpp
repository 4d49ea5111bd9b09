#pragma once

#include "state/enum_names.hpp"

#include <array>

namespace acaciaslip::state {

/// Whether a server has executed a request, as far as is known.
enum class verdict {
    not_run, ///< certain: no byte was written, or the server declared that it did not execute the request
    ran, ///< a complete answer to this request was received
    may_have_run, ///< at least one byte was written, and no complete matching answer was received
};

inline constexpr std::array<enum_name<verdict>, 3> verdictNames { {
    { verdict::not_run, "not_run" },
    { verdict::ran, "ran" },
    { verdict::may_have_run, "may_have_run" },
} };

/// How an attempt to have a server process a request ended.
enum class attempt_outcome {
    answered, ///< a complete answer with the id of the attempt was received
    shed, ///< the server refused the request without executing it (503 with Acaciaslip-Not-Run)
    connect_failed, ///< connecting failed; nothing was written
    no_connection, ///< this node's share of connections to the server is in use; nothing was written
    expired, ///< the decision became stale before the first byte was written; nothing was written
    cut, ///< at least one byte was written, and the connection ended before the answer was complete
    mismatched, ///< the answer has the id of another attempt or an invalid length
    timed_out, ///< at least one byte was written, and the deadline passed
    cancelled, ///< cancelled by this node after the first byte
};

inline constexpr std::array<enum_name<attempt_outcome>, 9> attemptOutcomeNames { {
    { attempt_outcome::answered, "answered" },
    { attempt_outcome::shed, "shed" },
    { attempt_outcome::connect_failed, "connect_failed" },
    { attempt_outcome::no_connection, "no_connection" },
    { attempt_outcome::expired, "expired" },
    { attempt_outcome::cut, "cut" },
    { attempt_outcome::mismatched, "mismatched" },
    { attempt_outcome::timed_out, "timed_out" },
    { attempt_outcome::cancelled, "cancelled" },
} };

/// Why a request was refused instead of answered with a server's answer.
enum class refusal_reason {
    no_route, ///< no service matches the path (404)
    unknown_key, ///< the route needs a key, and the request has none that is in force (401)
    keys_outdated, ///< keys may have been removed without this node's knowledge (503)
    over_allowance, ///< the team's allowance is used up (429)
    no_server, ///< no server of the service may receive requests (503)
    overloaded, ///< the request queue is full, or the expected wait exceeds the deadline (503)
    back_off, ///< every server of the service has asked this host for a pause (503)
    ends_servers, ///< servers have ended whenever they ran the request (503)
    duplicate_key, ///< this node is processing a request with the same Idempotency-Key (409)
    leaving, ///< this node is stopping (503)
    deadline_exceeded, ///< the deadline passed (504)
    broken_answer, ///< the server's answer was truncated, belonged to another request or was malformed (502)
    unproven_refusal, ///< the server refused without stating that it had not executed the request (502)
};

inline constexpr std::array<enum_name<refusal_reason>, 13> refusalReasonNames { {
    { refusal_reason::no_route, "no_route" },
    { refusal_reason::unknown_key, "unknown_key" },
    { refusal_reason::keys_outdated, "keys_outdated" },
    { refusal_reason::over_allowance, "over_allowance" },
    { refusal_reason::no_server, "no_server" },
    { refusal_reason::overloaded, "overloaded" },
    { refusal_reason::back_off, "back_off" },
    { refusal_reason::ends_servers, "ends_servers" },
    { refusal_reason::duplicate_key, "duplicate_key" },
    { refusal_reason::leaving, "leaving" },
    { refusal_reason::deadline_exceeded, "deadline_exceeded" },
    { refusal_reason::broken_answer, "broken_answer" },
    { refusal_reason::unproven_refusal, "unproven_refusal" },
} };

/// Returns what the outcome of an attempt proves about the execution of the request.
[[nodiscard]] constexpr verdict verdictOf(attempt_outcome outcome) noexcept
{
    switch (outcome) {
    case attempt_outcome::answered:
        return verdict::ran;
    case attempt_outcome::shed:
    case attempt_outcome::connect_failed:
    case attempt_outcome::no_connection:
    case attempt_outcome::expired:
        return verdict::not_run;
    case attempt_outcome::cut:
    case attempt_outcome::mismatched:
    case attempt_outcome::timed_out:
    case attempt_outcome::cancelled:
        return verdict::may_have_run;
    }
    return verdict::may_have_run;
}

} // namespace acaciaslip::state
