#pragma once

#include "coordination/gateway/node.hpp"
#include "coordination/memory_budget.hpp"

#include <cstdint>
#include <string>

namespace acaciaslip::transport::loop {

/// Measurements of the process outside the node.
struct gateway_process_gauges {
    std::uint64_t connectionsOpened = 0; ///< connections opened to servers
    std::uint64_t logLinesDropped = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t storeUselessAnswers = 0; ///< watches answered early with nothing new
    std::uint64_t datagramsRejected = 0;
    coordination::memory_budget memory;
};

/// Writes all metrics in the Prometheus text format.
[[nodiscard]] std::string writeGatewayMetrics(
    const coordination::gateway::gateway_node& node, const gateway_process_gauges& gauges, state::time_point now);

} // namespace acaciaslip::transport::loop
