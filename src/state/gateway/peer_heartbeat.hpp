#pragma once

#include "state/enum_names.hpp"
#include "state/gateway/allowance_messages.hpp"
#include "state/gateway/crash_report.hpp"
#include "state/gateway/published_fleet.hpp"
#include "state/gateway/request_class.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::state::gateway {

/// Address of an entry host without port; all hosts use the same ports.
using peer_ip = std::string;

/// Identifies another host's fetch within one process.
enum class fetch_id : std::uint64_t {};

/// An entry host other than the sender that the sender knows.
struct known_peer {
    peer_ip ip;
    data_centre_id dataCentre;
    duration age {}; ///< time since any host last received a heartbeat from it

    [[nodiscard]] bool operator==(const known_peer&) const = default;
};

/// Whether a host watches the store itself.
enum class store_access {
    none, ///< it receives changes from other hosts
    answers,
    away, ///< it tries to, but the store does not respond
};

inline constexpr std::array<enum_name<store_access>, 3> storeAccessNames { {
    { store_access::none, "none" },
    { store_access::answers, "answers" },
    { store_access::away, "away" },
} };

/// What a server has last said about its limit, to any host.
struct limit_notice {
    host_id server;
    std::optional<double> perSecond; ///< empty: it no longer names a limit
    time_point saidAt; ///< fleet time

    [[nodiscard]] bool operator==(const limit_notice&) const = default;
};

/// A heartbeat datagram between entry hosts.
struct peer_heartbeat {
    peer_ip sender;
    data_centre_id dataCentre;
    std::int64_t incarnation = 0; ///< increases with each start of the sender
    bool leaving = false;
    bool replyRequested = false;
    store_access store = store_access::none;
    /// The store is unavailable or has just recovered, so entries may have expired only because of that.
    bool storeUnsettled = false;
    revision asOf = 0; ///< revision up to which the sender knows the published fleet
    std::optional<time_point> fleetTime; ///< the sender's view of the time that all hosts share
    std::vector<known_peer> peers; ///< a sample of the hosts that the sender knows
    std::vector<limit_notice> limits; ///< a sample of the limits that the sender knows
    std::vector<crash_report> crashes; ///< news or a sample of what the sender knows of requests that end servers
    /// The largest demands of classes that less urgent ones give way to; empty if the sender knows no priorities.
    std::optional<std::vector<class_demand>> classDemand {};
    std::vector<allowance_report> allowanceReports; ///< to keepers of teams' allowances
    std::vector<allowance_notice> allowanceNotices; ///< from them
    std::optional<fleet_delta> delta; ///< the latest changes
    /// When the store, directly or through peers, last told that it has nothing after `asOf`; in fleet time. Sent only
    /// with `strict-revoke`.
    std::optional<time_point> storeNewsAt {};

    [[nodiscard]] bool operator==(const peer_heartbeat&) const = default;
};

/// State of another entry host as known to this node.
struct peer_state {
    data_centre_id dataCentre;
    std::int64_t incarnation = 0; ///< 0: known only through other hosts
    bool leaving = false; ///< no longer shares the budgets; still relays changes
    time_point lastSeenAt; ///< when any host last received a heartbeat from it
    std::optional<time_point> receivedAt; ///< when this node last received a heartbeat from it
    store_access store = store_access::none;
    revision asOf = 0;
    std::vector<class_demand> classDemand {}; ///< as last told by the host
    std::optional<time_point> classDemandAt {}; ///< when it was received; empty: never
};

} // namespace acaciaslip::state::gateway
