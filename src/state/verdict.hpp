#pragma once

#include "state/enum_names.hpp"

#include <array>

namespace acaciaslip::state {

/// Whether a request may have run on a server.
enum class verdict {
    not_run, ///< proven: no byte was written, or the server itself said that it did not run
    ran, ///< a whole answer to this request came back
    may_have_run, ///< a byte was written and no whole matching answer came back
};

inline constexpr std::array<enum_name<verdict>, 3> verdictNames { {
    { verdict::not_run, "not_run" },
    { verdict::ran, "ran" },
    { verdict::may_have_run, "may_have_run" },
} };

/// How one attempt to have a server carry a request ended.
enum class attempt_outcome {
    answered, ///< a whole answer with the attempt's own id
    shed, ///< the server proved that it did not run it (503 with Acaciaslip-Not-Run)
    connect_failed, ///< no connection; nothing was written
    no_connection, ///< this node's share of the server's connections is in use; nothing was written
    expired, ///< the permit to write had run out before the first byte; nothing was written
    cut, ///< a byte was written and the connection ended before the whole answer
    mismatched, ///< the answer carried another attempt's id or a broken length
    timed_out, ///< a byte was written and the deadline passed
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

/// Why a request was not given a server's answer.
enum class refusal_reason {
    no_route, ///< no service at this path (404)
    no_server, ///< no server of the service may take work (503)
    overloaded, ///< the bounded queue is full, or the wait cannot end before the deadline (503)
    duplicate_key, ///< a request with the same Idempotency-Key is in progress here (409)
    leaving, ///< this node is leaving (503)
    deadline_exceeded, ///< the deadline passed (504)
    broken_answer, ///< the server's answer was cut, crossed or malformed (502)
};

inline constexpr std::array<enum_name<refusal_reason>, 7> refusalReasonNames { {
    { refusal_reason::no_route, "no_route" },
    { refusal_reason::no_server, "no_server" },
    { refusal_reason::overloaded, "overloaded" },
    { refusal_reason::duplicate_key, "duplicate_key" },
    { refusal_reason::leaving, "leaving" },
    { refusal_reason::deadline_exceeded, "deadline_exceeded" },
    { refusal_reason::broken_answer, "broken_answer" },
} };

/// What one attempt's outcome proves about the request.
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
