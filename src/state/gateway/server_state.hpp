#pragma once

#include "state/gateway/published_fleet.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <optional>

namespace acaciaslip::state::gateway {

/// Load reported by a server.
struct load_report {
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0; ///< 0: not reported
    double slowdown = 1; ///< current slowdown factor of the server's machine
    time_point receivedAt;
};

/// Whether a response contains a header, and whether its value is valid.
enum class header_statement {
    none, ///< the response does not contain it
    named,
    unreadable, ///< its value is malformed or out of range, so what was known still applies
};

/// What a response says about the server's rate limit, which applies to all hosts together.
struct limit_report {
    header_statement statement = header_statement::none;
    double perSecond = 0; ///< requests per second; only if named

    [[nodiscard]] bool operator==(const limit_report&) const = default;
};

/// For how long a server that has refused a request asks this host to send it nothing.
struct back_off_report {
    header_statement statement = header_statement::none;
    duration time {}; ///< only if named

    [[nodiscard]] bool operator==(const back_off_report&) const = default;
};

/// State of a registered server as known to this node.
struct server_state {
    server_entry entry;
    revision revisionNumber = 0; ///< revision of the entry
    bool evacuated = false; ///< its data centre must receive no requests
    /// The entry is missing, possibly because the store was unavailable; not used from this time on.
    std::optional<time_point> removeAt;

    std::optional<load_report> report;
    std::uint32_t ownInFlight = 0; ///< requests of this node in flight on the server
    std::uint32_t sentSinceReport = 0; ///< requests that the last load report does not include

    time_point coldUntil; ///< the server is warm from this time on, unless it reports otherwise
    std::optional<time_point> lastColdSendAt; ///< when this node last sent it a request while it was cold

    std::optional<double> limitPerSecond; ///< requests per second that it takes from all hosts together, if it says so
    /// Fleet time of the latest response, to any host, that named a limit or could have.
    std::optional<time_point> limitSaidAt;
    std::optional<time_point> limitEndedAt; ///< fleet time; set while other hosts may still know a limit that has ended
    std::optional<time_point> lastSendAt; ///< when this node last sent it a request
    /// Set once the server has said that it is shutting down: from then on it is used only if there is no other, and
    /// from this time on not at all.
    std::optional<time_point> leavingUntil;
    std::optional<time_point> downSince; ///< nothing listens at its address, as far as this node knows
    std::optional<time_point> backOffUntil; ///< the server has asked this host to send it nothing until then

    double slowdownFactor
        = 1; ///< ratio of observed duration to the duration expected from the load report, moving average
    time_point slowdownFactorAt;
    std::uint32_t consecutiveFailures = 0;
    double failureRate = 0; ///< share of failed responses, moving average that decays with time
    time_point failureRateAt;
    std::optional<time_point> ejectedUntil; ///< ejected until then: probed only when no other server is left
};

} // namespace acaciaslip::state::gateway
