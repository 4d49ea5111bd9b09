#pragma once

#include "state/gateway/configuration.hpp"

#include <map>
#include <string>

namespace acaciaslip::coordination::gateway {

/// How far each service of a route's split is below its share.
struct split_balance {
    std::map<std::string, double> credit; ///< by service
};

/// Chooses the service that is furthest below its weight's share, so that the shares also hold over few requests.
/// \param offset in [0, 1); differs between hosts, so that they do not all start with the same service
[[nodiscard]] const std::string& chooseService(
    split_balance& balance, const state::gateway::route& route, double offset);

} // namespace acaciaslip::coordination::gateway
