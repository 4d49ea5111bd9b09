#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace acaciaslip::state {

/// Another entry host as this node sees it.
struct peer_record {
    host_id id;
    std::string address; ///< "ip:port", UDP and TCP
    data_centre_id dataCentre;
    bool listed = false; ///< in the platform's list
    bool leaving = false;
    std::uint64_t incarnation = 0; ///< 0: never heard
    std::uint64_t sequence = 0; ///< of the newest message taken
    std::optional<time_point> heardAt;
    time_point nextTellAt;
    std::map<value_key, revision> revisions; ///< what it last said it has
};

/// Every other entry host, by id.
using peer_table = std::map<host_id, peer_record>;

} // namespace acaciaslip::state
