#include "transport/metrics.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace acaciaslip::transport {
namespace {

using testing::HasSubstr;

class metrics_test : public testing::Test {
protected:
    [[nodiscard]] std::string write() const
    {
        const auto now = state::time_point {} + std::chrono::seconds { 9 };
        return writeMetrics(protocol::copyNode(m_node, now), { 3 });
    }

    coordination::node m_node = coordination::makeNode({}, 1, {});
};

TEST_F(metrics_test, CountersByLabel_SomeNeverCounted_AreWrittenAsZero)
{
    m_node.counters.requestsByVerdict[state::verdict::ran] = 5;
    const auto text = write();
    EXPECT_THAT(text, HasSubstr("acaciaslip_requests_total{verdict=\"ran\"} 5"));
    EXPECT_THAT(text, HasSubstr("acaciaslip_requests_total{verdict=\"may_have_run\"} 0"));
    EXPECT_THAT(text, HasSubstr("acaciaslip_refusals_total{reason=\"overloaded\"} 0"));
    EXPECT_THAT(text, HasSubstr("acaciaslip_log_lines_dropped_total 3"));
}

TEST_F(metrics_test, Histogram_ObservedDurations_BucketsAreCumulative)
{
    auto& histogram = m_node.counters.durationByVerdict[state::verdict::ran];
    state::observe(histogram, std::chrono::microseconds { 700 });
    state::observe(histogram, std::chrono::seconds { 60 });
    const auto text = write();
    EXPECT_THAT(text, HasSubstr("acaciaslip_request_duration_seconds_bucket{verdict=\"ran\",le=\"0.001\"} 1"));
    EXPECT_THAT(text, HasSubstr("acaciaslip_request_duration_seconds_bucket{verdict=\"ran\",le=\"+Inf\"} 2"));
    EXPECT_THAT(text, HasSubstr("acaciaslip_request_duration_seconds_count{verdict=\"ran\"} 2"));
}

TEST_F(metrics_test, ServersAndValues_InSnapshot_AreWrittenWithStandingAndAge)
{
    m_node.fleet.services.emplace_back().settings.name = { "kierdicht", "bookings" };
    m_node.fleet.servers.resize(200);
    for (auto& server : m_node.fleet.servers)
        server.listing = state::host_listing::live;
    m_node.fleet.servers[0].dataCentreEvacuated = true;
    auto& value = m_node.values["acaciaslip/hosts"].active;
    value.number = 7;
    value.receivedAt = state::time_point {} + std::chrono::seconds { 5 };
    const auto text = write();
    EXPECT_THAT(
        text, HasSubstr("acaciaslip_servers{team=\"kierdicht\",service=\"bookings\",standing=\"data_centre_out\"} 1"));
    EXPECT_THAT(text, HasSubstr("acaciaslip_servers{team=\"kierdicht\",service=\"bookings\",standing=\"cold\"} 199"));
    EXPECT_THAT(text, HasSubstr("acaciaslip_value_revision{key=\"acaciaslip/hosts\"} 7"));
    EXPECT_THAT(text, HasSubstr("acaciaslip_value_age_seconds{key=\"acaciaslip/hosts\"} 4"));
}

} // namespace
} // namespace acaciaslip::transport
