#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/time.hpp"

#include <cstddef>
#include <optional>

namespace acaciaslip::coordination {

/// How far the walk over all servers has come.
struct review_state {
    std::size_t next = 0; ///< the server that is looked at next
    double owed = 0; ///< servers still to be looked at, with their fraction
    std::optional<state::time_point> at;
};

/// Looks at the servers that time alone may have changed: stalls, ends of ejections, probes that are due.
/// \details Each call walks the slice of servers that the time since the last call asks for, so that every server is
/// looked at each 100 ms and the cost of one call does not grow with the time between calls beyond one full walk.
void reviewServers(node& self, state::time_point now, random_generator& random, effect_list& effects);

} // namespace acaciaslip::coordination
