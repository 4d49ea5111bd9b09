#pragma once

#include "protocol/node_snapshot.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

namespace acaciaslip::transport {

/// What is measured around the node, outside its decisions.
struct process_gauges {
    std::uint64_t logLinesDropped = 0; ///< since the start
};

/// Makes the families of metrics that a snapshot gives.
[[nodiscard]] std::vector<prometheus::MetricFamily> makeFamilies(
    const protocol::node_snapshot& snapshot, const process_gauges& gauges);

/// Writes every metric as Prometheus text.
[[nodiscard]] std::string writeMetrics(const protocol::node_snapshot& snapshot, const process_gauges& gauges);

} // namespace acaciaslip::transport
