#pragma once

#include "state/gateway/configuration.hpp"

#include <map>
#include <string>

namespace acaciaslip::coordination::gateway {

/// How far each part of a route's split is behind its share.
struct split_balance {
    std::map<std::string, double> credit; ///< by service
};

/// Picks the part that is furthest behind its weight's share, so that the shares hold over few requests too.
/// \param offset in [0, 1), by which hosts differ, so that they do not all begin with the same part
[[nodiscard]] const std::string& choosePart(split_balance& balance, const state::gateway::route& route, double offset);

} // namespace acaciaslip::coordination::gateway
