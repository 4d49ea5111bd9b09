#pragma once

#include "coordination/memory_budget.hpp"
#include "protocol/node_snapshot.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

namespace acaciaslip::transport {

/// Process metrics that are not part of the node snapshot.
struct process_gauges {
    std::uint64_t logLinesDropped = 0; ///< since the process started
    coordination::memory_budget memory {}; ///< for requests and answers in hand
};

/// Creates the metric families for a snapshot.
[[nodiscard]] std::vector<prometheus::MetricFamily> makeFamilies(
    const protocol::node_snapshot& snapshot, const process_gauges& gauges);

/// Serializes all metrics in the Prometheus text format.
[[nodiscard]] std::string writeMetrics(const protocol::node_snapshot& snapshot, const process_gauges& gauges);

} // namespace acaciaslip::transport
