#pragma once

#include "state/enum_names.hpp"
#include "state/gateway/configuration.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::state::gateway {

/// Number of a question about a server's load within one process.
enum class ask_id : std::uint64_t {};

/// A request that a server has been sent and has not answered.
struct running_attempt {
    attempt_id id {};
    host_id server;
    time_point startedAt;
    duration expected {}; ///< how long the server should take
};

/// A server's own failure, kept as the answer in case no other server does better.
struct kept_answer {
    attempt_id attempt {};
    host_id server;
};

/// Why servers are being asked for a request.
enum class asking_reason { first_send, retry, hedge };

inline constexpr std::array<enum_name<asking_reason>, 3> askingReasonNames { {
    { asking_reason::first_send, "first_send" },
    { asking_reason::retry, "retry" },
    { asking_reason::hedge, "hedge" },
} };

/// One round of asking servers for their load before one of them is sent the request.
struct asking_round {
    asking_reason reason = asking_reason::first_send;
    time_point startedAt;
    time_point decideAt; ///< when to choose among those that have answered
    bool widened = false; ///< servers beyond the first few were asked too
    std::vector<ask_id> running; ///< questions without an answer yet
    std::vector<host_id> asked;
    std::vector<host_id> answered;
};

/// A request that a caller waits for.
struct pending_request {
    request_id id {};
    std::string callerRequestId; ///< the caller's own name of this request, for logs
    std::shared_ptr<const configuration> config; ///< that it was routed with
    const route* matched = nullptr; ///< within `config`
    std::string service;
    time_point arrivedAt;
    time_point objectiveAt; ///< an answer after this is worth little
    time_point answerBy; ///< the earlier of the route's timeout and the caller's deadline
    time_point callerDeadline;

    std::optional<asking_round> round;
    std::optional<time_point> askAgainAt; ///< no server was good enough: ask anew then
    std::optional<time_point> hedgeAt;
    std::vector<running_attempt> running;
    std::vector<host_id> tried; ///< servers that were sent this request
    std::uint32_t sends = 0;
    std::uint32_t possibleRuns = 0; ///< sends not proven to have run nothing
    bool mayHaveRun = false; ///< some ended attempt leaves it open
    attempt_outcome lastOutcome = attempt_outcome::answered; ///< of the newest ended attempt
    std::optional<kept_answer> fallback;
    std::uint32_t rounds = 0; ///< of asking

    time_point dueAt; ///< its place in the node's queue of due requests
};

} // namespace acaciaslip::state::gateway
