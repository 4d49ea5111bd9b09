#include "transport/metric_families.hpp"

#include <limits>

namespace acaciaslip::transport {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double millisecondsPerSecond = 1000;

} // namespace

MetricFamily makeFamily(const char* name, const char* help, MetricType type)
{
    MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = type;
    return family;
}

void addMetric(MetricFamily& family, metric_labels labels, double value)
{
    ClientMetric metric;
    metric.label = std::move(labels);
    if (family.type == MetricType::Counter)
        metric.counter.value = value;
    else
        metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
}

MetricFamily makeCounter(const char* name, const char* help, std::uint64_t value)
{
    auto family = makeFamily(name, help, MetricType::Counter);
    addMetric(family, {}, static_cast<double>(value));
    return family;
}

MetricFamily makeGauge(const char* name, const char* help, double value)
{
    auto family = makeFamily(name, help, MetricType::Gauge);
    addMetric(family, {}, value);
    return family;
}

void addMessageMemory(std::vector<MetricFamily>& families, const coordination::memory_budget& memory)
{
    families.push_back(makeGauge(
        "acaciaslip_message_bytes", "Bytes of requests and answers in hand", static_cast<double>(memory.heldBytes)));
    families.push_back(makeGauge(
        "acaciaslip_message_bytes_limit", "Limit of acaciaslip_message_bytes", static_cast<double>(memory.limitBytes)));
    families.push_back(makeCounter("acaciaslip_messages_without_memory_total",
        "Requests and answers that did not fit into the memory for messages", memory.rejections));
}

void addHistogram(MetricFamily& family, metric_labels labels, const state::duration_histogram& histogram)
{
    ClientMetric metric;
    metric.label = std::move(labels);
    std::uint64_t count = 0;
    for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
        count += histogram.counts[bucket];
        const double bound = bucket < state::durationBounds.size()
            ? state::toMilliseconds(state::durationBounds[bucket]) / millisecondsPerSecond
            : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back({ count, bound });
    }
    metric.histogram.sample_count = count;
    metric.histogram.sample_sum = state::toMilliseconds(histogram.sum) / millisecondsPerSecond;
    family.metric.push_back(std::move(metric));
}

} // namespace acaciaslip::transport
