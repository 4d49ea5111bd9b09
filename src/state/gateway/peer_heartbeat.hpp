#pragma once

#include "state/gateway/published_fleet.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

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

/// One datagram between entry hosts.
struct peer_heartbeat {
    peer_ip from;
    data_centre_id dataCentre;
    std::int64_t incarnation = 0; ///< rises with each start of the sender
    bool leaving = false;
    bool answerWanted = false;
    bool followsStore = false; ///< the sender reads the store, and the store answers it
    revision asOf = 0; ///< up to which the sender knows the published fleet
    std::vector<known_peer> peers; ///< some that the sender knows
    std::optional<fleet_delta> delta; ///< what has just changed

    [[nodiscard]] bool operator==(const peer_heartbeat&) const = default;
};

/// Another entry host as this node sees it.
struct peer_state {
    data_centre_id dataCentre;
    std::int64_t incarnation = 0; ///< 0: heard of only
    time_point aliveAt; ///< when it was last heard, by anybody
    std::optional<time_point> heardAt; ///< when this node itself last heard it
    bool followsStore = false;
    revision asOf = 0;
};

} // namespace acaciaslip::state::gateway
