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

/// How much a server is trusted with.
enum class server_condition {
    cold, ///< takes only what its permits allow
    warm, ///< takes its soft limit
    ejected, ///< failing: takes nothing but probes
};

inline constexpr std::array<enum_name<server_condition>, 3> serverConditionNames { {
    { server_condition::cold, "cold" },
    { server_condition::warm, "warm" },
    { server_condition::ejected, "ejected" },
} };

/// What a server's own endpoints last said; lags and may mislead.
struct server_report {
    bool draining = false; ///< believed: takes no new work
    time_point drainingHeardAt; ///< when it was last said to drain, by itself or by a peer that asked it
    bool saysDraining = false; ///< the word itself, believed or not
    bool cold = false;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::string boot;
    time_point heardAt; ///< when either was last read
    std::optional<time_point> healthAt; ///< when this node last read its health
    std::optional<time_point> loadAt; ///< when this node last read its load
};

/// This node's part in reading a server's endpoints.
struct probe_duty {
    duration interval {}; ///< between two probes; zero: other nodes read this server
    time_point dueAt;
    time_point startedAt; ///< of the newest probe
    bool running = false;
    double allowed = 0; ///< probes that the budget has had room for
    time_point allowedAt; ///< up to when `allowed` counts
};

/// One back-end server as this node sees it.
struct server_record {
    host_id id;
    std::string address;
    data_centre_id dataCentre;
    service_index service = 0;
    host_listing listing = host_listing::absent;
    bool dataCentreOut = false;

    server_condition condition = server_condition::cold;
    std::string conditionReason = "new"; ///< why it is in this condition, for the dump
    time_point conditionSince;
    std::uint64_t epoch = 0; ///< generation of the limit and the node that began it; rises with every collapse
    time_point epochSince; ///< when this node learned of the epoch
    std::uint32_t limit = 1; ///< requests at a time over all nodes, while cold
    std::uint32_t goodAnswers = 0; ///< since the limit last changed
    std::uint32_t setbacks = 0; ///< collapses since it was last warm; each makes it grow more slowly
    std::string boot; ///< the newest boot id known
    std::string formerBoot; ///< the one before; a lagging endpoint may still report it

    std::uint32_t badAnswers = 0; ///< failures of any kind in a row
    std::uint32_t shedAnswers = 0; ///< shed answers in a row
    std::uint32_t connectFailures = 0; ///< in a row
    std::uint32_t ejections = 0; ///< since it was last warm
    time_point ejectedUntil;
    absl::flat_hash_map<host_id, time_point> ejectedBy; ///< peers that send it nothing, and until when

    std::uint32_t ownInFlight = 0; ///< exact
    load_state load;
    duration usualLatency {}; ///< slow moving average, to judge a jump by
    std::optional<time_point> lastAnswerAt;
    std::optional<server_report> report;

    probe_duty probes;
    std::uint64_t probesSpent = 0;
};

} // namespace acaciaslip::state
