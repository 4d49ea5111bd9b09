#pragma once

#include "coordination/memory_budget.hpp"
#include "state/duration_histogram.hpp"
#include "state/enum_names.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

namespace acaciaslip::transport {

/// Labels of a metric, in output order.
using metric_labels = std::vector<prometheus::ClientMetric::Label>;

/// Creates a metric family without metrics.
[[nodiscard]] prometheus::MetricFamily makeFamily(const char* name, const char* help, prometheus::MetricType type);

/// Adds a counter or gauge to a family, depending on the family's type.
void addMetric(prometheus::MetricFamily& family, metric_labels labels, double value);

/// Creates a family with a single counter.
[[nodiscard]] prometheus::MetricFamily makeCounter(const char* name, const char* help, std::uint64_t value);

/// Creates a family with a single gauge.
[[nodiscard]] prometheus::MetricFamily makeGauge(const char* name, const char* help, double value);

/// Adds the families that describe the memory for requests and answers in hand.
void addMessageMemory(std::vector<prometheus::MetricFamily>& families, const coordination::memory_budget& memory);

/// Adds a histogram to a family, with its bucket bounds and sum in seconds.
void addHistogram(prometheus::MetricFamily& family, metric_labels labels, const state::duration_histogram& histogram);

/// Creates a family with a counter for each value of an enumeration; values without a count are exported as 0.
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

/// Creates a family with a histogram for each enumeration value that has been observed.
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
