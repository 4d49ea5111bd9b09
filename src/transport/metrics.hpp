#pragma once

#include "protocol/node_snapshot.hpp"

#include <string>
#include <vector>

#include <prometheus/metric_family.h>

namespace acaciaslip::transport {

/// What is measured around the node, outside its decisions.
struct process_gauges {
    std::size_t eventsWaiting = 0; ///< in the ring in front of the decision thread
};

/// Makes the families of metrics that a snapshot gives.
[[nodiscard]] std::vector<prometheus::MetricFamily> makeFamilies(
    const protocol::node_snapshot& snapshot, const process_gauges& gauges);

/// Writes every metric as Prometheus text.
[[nodiscard]] std::string writeMetrics(const protocol::node_snapshot& snapshot, const process_gauges& gauges);

} // namespace acaciaslip::transport
