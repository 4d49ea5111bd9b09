#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Begins a planned stop: the node says that it is not ready, and goes on taking work until the balancer has seen it.
void beginStop(gateway_node& self, state::time_point now, effect_list& effects);

/// Takes the next step of a planned stop when its time has come.
void advanceStop(gateway_node& self, state::time_point now, effect_list& effects);

/// When the stop's next step is due.
[[nodiscard]] std::optional<state::time_point> nextStopStep(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
