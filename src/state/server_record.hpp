#pragma once

#include "state/enum_names.hpp"
#include "state/fleet_settings.hpp"
#include "state/identifiers.hpp"
#include "state/load_state.hpp"
#include "state/time.hpp"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::state {

/// How many requests a server may receive.
enum class server_condition {
    cold, ///< slow start: limited by permits that the nodes share
    warm, ///< up to its soft limit
    ejected, ///< outlier ejection: receives only probes
};

inline constexpr std::array<enum_name<server_condition>, 3> serverConditionNames { {
    { server_condition::cold, "cold" },
    { server_condition::warm, "warm" },
    { server_condition::ejected, "ejected" },
} };

/// Newest report of a server's health and load endpoints. It may be out of date or wrong.
struct server_report {
    bool draining = false; ///< accepted by this node: the server receives no new requests
    /// When draining was last reported, by the server or by a peer that made a health check.
    time_point drainingReportedAt;
    bool reportsDraining = false; ///< draining as reported, whether accepted or not
    bool cold = false;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::string bootId; ///< changes with every restart of the server
    time_point receivedAt; ///< when either endpoint was last read
    std::optional<time_point> healthReadAt; ///< when this node last read the health endpoint
    std::optional<time_point> loadReadAt; ///< when this node last read the load endpoint
};

/// This node's share of the probes of one server's endpoints.
struct probe_schedule {
    duration interval {}; ///< time between two probes; zero: only other nodes probe this server
    time_point dueAt; ///< of the next probe
    time_point startedAt; ///< of the newest probe
    bool inFlight = false; ///< a probe is in flight
    double budgeted = 0; ///< probes that the budget has allowed in total
    time_point budgetedUntil; ///< time up to which `budgeted` has been accumulated
};

/// State that this node keeps about a backend server.
struct server_record {
    host_id id;
    std::string address;
    data_centre_id dataCentre;
    service_index service = 0;
    host_listing listing = host_listing::absent;
    bool dataCentreEvacuated = false; ///< its data centre is evacuated

    server_condition condition = server_condition::cold;
    std::string conditionReason = "new"; ///< cause of the condition, shown in the dump
    time_point conditionSince;
    /// Generation of the limit, with the node that began it; incremented when the server is reset to cold.
    std::uint64_t epoch = 0;
    time_point epochSince; ///< when this node learned of the epoch
    std::uint32_t limit = 1; ///< concurrent requests over all nodes, while cold
    std::uint32_t successesAtLimit = 0; ///< successful answers since the limit last changed
    std::uint32_t coldResets = 0; ///< resets to cold since it was last warm; each slows down the growth of the limit
    std::string bootId; ///< newest known boot id
    std::string previousBootId; ///< previous boot id, which an endpoint that lags may still report

    std::uint32_t consecutiveFailures = 0; ///< consecutive failures of any kind
    std::uint32_t consecutiveSheds = 0; ///< consecutive shed answers
    std::uint32_t consecutiveConnectFailures = 0; ///< consecutive connect failures
    std::uint32_t ejections = 0; ///< ejections since it was last warm
    time_point ejectedUntil;
    absl::flat_hash_map<host_id, time_point> ejectedBy; ///< peers that have ejected it, and until when

    std::uint32_t ownInFlight = 0; ///< requests of this node in flight; exact
    load_state load;
    duration baselineLatency {}; ///< slow moving average, the baseline for detecting latency jumps
    std::optional<time_point> lastResponseAt;
    std::optional<server_report> report;

    probe_schedule probing;
    std::uint64_t probesSpent = 0; ///< probes that this node has sent
};

} // namespace acaciaslip::state
