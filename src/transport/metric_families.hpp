#pragma once

#include "state/duration_histogram.hpp"
#include "state/enum_names.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

namespace acaciaslip::transport {

/// Labels of one metric, in the order in which they are written.
using metric_labels = std::vector<prometheus::ClientMetric::Label>;

/// Makes a family without metrics.
[[nodiscard]] prometheus::MetricFamily makeFamily(const char* name, const char* help, prometheus::MetricType type);

/// Adds a metric to a family of counters or gauges.
void addMetric(prometheus::MetricFamily& family, metric_labels names, double value);

/// Makes a family of one counter.
[[nodiscard]] prometheus::MetricFamily makeCounter(const char* name, const char* help, std::uint64_t value);

/// Makes a family of one gauge.
[[nodiscard]] prometheus::MetricFamily makeGauge(const char* name, const char* help, double value);

/// Adds a histogram in seconds.
void addHistogram(prometheus::MetricFamily& family, metric_labels names, const state::duration_histogram& histogram);

/// Makes a family of one counter for each value of an enumeration, those never counted included.
template <typename Enum, typename Table>
[[nodiscard]] prometheus::MetricFamily makeCounters(const char* name, const char* help, const char* label,
    const std::map<Enum, std::uint64_t>& counts, const Table& table)
{
    auto family = makeFamily(name, help, prometheus::MetricType::Counter);
    for (const auto& row : table) {
        const auto found = counts.find(row.value);
        addMetric(family, { { label, std::string(row.name) } },
            found == counts.end() ? 0.0 : static_cast<double>(found->second));
    }
    return family;
}

/// Makes a family of one histogram for each value of an enumeration that was observed.
template <typename Enum, typename Table>
[[nodiscard]] prometheus::MetricFamily makeHistograms(const char* name, const char* help, const char* label,
    const std::map<Enum, state::duration_histogram>& histograms, const Table& table)
{
    auto family = makeFamily(name, help, prometheus::MetricType::Histogram);
    for (const auto& [value, histogram] : histograms)
        addHistogram(family, { { label, std::string(state::findName(table, value)) } }, histogram);
    return family;
}

} // namespace acaciaslip::transport
