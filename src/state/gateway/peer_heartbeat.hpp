#pragma once

#include "state/enum_names.hpp"
#include "state/gateway/published_fleet.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::state::gateway {

/// Address of an entry host, without port: all hosts use the same ports.
using peer_ip = std::string;

/// An entry host that the sender knows of, itself excepted.
struct known_peer {
    peer_ip ip;
    data_centre_id dataCentre;
    duration age {}; ///< since it was last heard, by anybody

    [[nodiscard]] bool operator==(const known_peer&) const = default;
};

/// Whether a host follows the store itself.
enum class store_access {
    none, ///< it hears of changes from others
    answers,
    away, ///< it tries to, and the store does not answer it
};

inline constexpr std::array<enum_name<store_access>, 3> storeAccessNames { {
    { store_access::none, "none" },
    { store_access::answers, "answers" },
    { store_access::away, "away" },
} };

/// One datagram between entry hosts.
struct peer_heartbeat {
    peer_ip from;
    data_centre_id dataCentre;
    std::int64_t incarnation = 0; ///< rises with each start of the sender
    bool leaving = false;
    bool answerWanted = false;
    store_access store = store_access::none;
    bool storeUnsettled = false; ///< the store is away or has just returned: entries may have lapsed only for that
    revision asOf = 0; ///< up to which the sender knows the published fleet
    std::vector<known_peer> peers; ///< some that the sender knows
    std::optional<fleet_delta> delta; ///< what has just changed

    [[nodiscard]] bool operator==(const peer_heartbeat&) const = default;
};

/// Another entry host as this node sees it.
struct peer_state {
    data_centre_id dataCentre;
    std::int64_t incarnation = 0; ///< 0: heard of only
    bool leaving = false; ///< shares no budget any more; still tells what it knows
    time_point aliveAt; ///< when it was last heard, by anybody
    std::optional<time_point> heardAt; ///< when this node itself last heard it
    store_access store = store_access::none;
    revision asOf = 0;
};

} // namespace acaciaslip::state::gateway
