#pragma once

#include "state/enum_names.hpp"
#include "state/fleet_settings.hpp"
#include "state/identifiers.hpp"
#include "state/load_state.hpp"
#include "state/time.hpp"

#include <array>
#include <optional>
#include <string>

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
    bool draining = false;
    bool cold = false;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::string boot;
    time_point heardAt;
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
    std::uint32_t limit = 1; ///< requests at a time over all nodes, while cold
    std::uint32_t goodAnswers = 0; ///< since the limit last changed
    std::uint32_t badAnswers = 0; ///< in a row

    std::uint32_t ownInFlight = 0; ///< exact
    load_state load;
    std::optional<time_point> lastAnswerAt;
    std::optional<server_report> report;

    double probeTokens = 0; ///< this node's share of the probe budget, left
    time_point probeTokensAt;
    std::uint64_t probesSpent = 0;
    bool probing = false;
};

} // namespace acaciaslip::state
