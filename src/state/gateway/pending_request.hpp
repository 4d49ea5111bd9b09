#pragma once

#include "state/enum_names.hpp"
#include "state/gateway/configuration.hpp"
#include "state/gateway/request_class.hpp"
#include "state/gateway/request_digest.hpp"
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

/// Identifies a load probe within one process.
enum class probe_id : std::uint64_t {};

/// An attempt that was sent to a server and has no response yet.
struct in_flight_attempt {
    attempt_id id {};
    host_id server;
    time_point startedAt;
    duration expected {}; ///< expected duration on the server
};

/// An error response of a server, kept as the fallback in case no other server succeeds.
struct fallback_answer {
    attempt_id attempt {};
    host_id server;
};

/// Why servers are probed for a request.
enum class send_reason { first_send, retry, hedge };

inline constexpr std::array<enum_name<send_reason>, 3> sendReasonNames { {
    { send_reason::first_send, "first_send" },
    { send_reason::retry, "retry" },
    { send_reason::hedge, "hedge" },
} };

/// One round of load probes, after which one of the servers is sent the request.
struct probe_round {
    send_reason reason = send_reason::first_send;
    time_point startedAt;
    time_point decideAt; ///< when to choose among the servers that have answered
    bool widened = false; ///< additional servers were probed after the initial ones
    std::vector<probe_id> inFlight; ///< probes without an answer yet
    std::vector<host_id> probed;
    std::vector<host_id> answered;
};

/// A request in progress.
struct pending_request {
    request_id id {};
    std::string callerRequestId; ///< request id that the caller chose, for logs
    request_digests digests;
    bool isTrial = false; ///< sent once although it is refused otherwise; see `crash_suspects.hpp`
    bool isServiceTimeTrial
        = false; ///< sent although its estimate exceeded its deadline; see `service_time_trials.hpp`
    std::shared_ptr<const configuration> config; ///< configuration that the request was routed with
    const route* matched = nullptr; ///< points into `config`
    std::string service;
    std::string team; ///< name of the caller's team; empty: none
    std::uint32_t priority = 0; ///< of the team if it has one, else of the route; 0 is the most urgent
    time_point arrivedAt;
    time_point objectiveAt; ///< a response after this has little value to the caller
    time_point deadline; ///< the earlier of the route's timeout and the caller's deadline
    time_point callerDeadline;

    std::optional<probe_round> round;
    std::optional<time_point> probeAgainAt; ///< when to probe again, because no server was good enough
    std::optional<time_point> hedgeAt;
    std::optional<waiting_position> waiting; ///< while it waits for a server; only in services with priorities
    bool heldBack = false; ///< in the latest round, a server had free slots, all of them kept for more urgent requests
    double reserve = 0; ///< slots per server that were kept for more urgent requests in the latest round
    std::vector<in_flight_attempt> attemptsInFlight;
    std::vector<host_id> tried; ///< servers that this request was sent to
    std::uint32_t sends = 0;
    std::uint32_t backOffRefusals = 0; ///< sends that a server refused as not run, naming a time without requests
    std::uint32_t possibleRuns = 0; ///< sends that may have run the request
    bool mayHaveRun = false; ///< a finished attempt may have run the request
    attempt_outcome lastOutcome = attempt_outcome::answered; ///< outcome of the most recently finished attempt
    std::optional<fallback_answer> fallback;
    std::uint32_t rounds = 0; ///< number of probe rounds

    time_point dueAt; ///< its position in the node's queue of due requests
};

} // namespace acaciaslip::state::gateway
