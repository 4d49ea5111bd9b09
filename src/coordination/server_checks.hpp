#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

#include <cstddef>
#include <optional>

namespace acaciaslip::coordination {

/// Progress of the periodic check of all servers.
struct server_check_state {
    std::size_t next = 0; ///< position of the next server to check
    double due = 0; ///< servers due for a check, including a fraction carried over
    std::optional<state::time_point> lastCheckAt;
};

/// Checks servers for changes caused by the passing of time: stalls, expired ejections and due probes.
/// \details Each call checks a number of servers in proportion to the time since the last call, so that every server is
/// checked every 100 ms. One call checks every server at most once, however long ago the last call was.
void checkServers(node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
