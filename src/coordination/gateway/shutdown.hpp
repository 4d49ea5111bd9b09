#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Starts a graceful shutdown: the node reports itself as not ready and accepts requests until the load balancer has
/// noticed.
void beginShutdown(gateway_node& self, state::time_point now, effect_list& effects);

/// Performs the next step of a graceful shutdown when it is due.
void advanceShutdown(gateway_node& self, state::time_point now, effect_list& effects);

/// Whether a request that starts now and takes a time ends before the process is killed. Always true without a
/// shutdown.
[[nodiscard]] bool endsBeforeKill(const gateway_node& self, state::duration expected, state::time_point now) noexcept;

/// Until when the process may wait for callers that still read their answers; empty without a shutdown.
[[nodiscard]] std::optional<state::time_point> latestExit(const gateway_node& self) noexcept;

/// When the next step of the shutdown is due.
[[nodiscard]] std::optional<state::time_point> nextShutdownStep(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
