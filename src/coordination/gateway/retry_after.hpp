#pragma once

#include "coordination/gateway/node.hpp"

#include <string_view>

namespace acaciaslip::coordination::gateway {

/// When a refused caller should come back: as soon as it may be served, spread so that callers do not return together.
/// \param service empty when the request had none
[[nodiscard]] state::duration findRetryAfter(
    const gateway_node& self, std::string_view service, state::refusal_reason reason, random_generator& random);

/// How long a service's requests take on an undisturbed server.
[[nodiscard]] state::duration typicalWork(
    const gateway_node& self, std::string_view service, state::duration objective) noexcept;

} // namespace acaciaslip::coordination::gateway
