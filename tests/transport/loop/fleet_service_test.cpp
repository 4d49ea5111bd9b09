#include "transport/loop/fleet_service.hpp"

#include "protocol/gateway_peer_codec.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::transport::loop {
namespace {

class fleet_service_test : public testing::Test {
protected:
    void add(const std::string& id)
    {
        state::gateway::server_entry entry;
        entry.id = id;
        entry.service = "a";
        entry.address = "10.1.0.1:80";
        m_known.servers[id] = { ++m_known.asOf, entry };
    }

    [[nodiscard]] service_answer fetch(const std::string& target)
    {
        protocol::http::message request;
        request.method = "GET";
        request.target = target;
        return m_service.answer(request, m_known).value_or(service_answer { 0, "", "" });
    }

    [[nodiscard]] std::size_t countServers(const service_answer& answer)
    {
        const auto delta = protocol::decodeDelta(answer.body);
        return delta.ok() ? delta->changes.servers.size() : 0;
    }

    state::gateway::published_fleet m_known;
    fleet_service m_service;
};

TEST_F(fleet_service_test, Fleet_NotKnown_IsUnavailable)
{
    EXPECT_EQ(fetch("/fleet?after=0").status, 503);
    EXPECT_EQ(fetch("/metrics").status, 0) << "not a fleet fetch";
}

/// All hosts of a data centre start at the same time and fetch from the first one that has the fleet. The
/// answer must be encoded only once for all of them.
TEST_F(fleet_service_test, Fetches_ManyOfSameRevision_AreEncodedOnce)
{
    for (int index = 0; index < 3000; ++index)
        add("s" + std::to_string(index));
    for (int host = 0; host < 300; ++host)
        ASSERT_EQ(fetch("/fleet?after=0").status, 200);
    EXPECT_EQ(countServers(fetch("/fleet?after=0")), 3000U);
    EXPECT_EQ(m_service.encodedAnswers(), 1U);
}

TEST_F(fleet_service_test, Fleet_Changed_AnswerIsUpdated)
{
    add("s1");
    EXPECT_EQ(countServers(fetch("/fleet?after=0")), 1U);
    add("s2");
    EXPECT_EQ(countServers(fetch("/fleet?after=0")), 2U);
    EXPECT_EQ(countServers(fetch("/fleet?after=1")), 1U) << "only the server added after revision 1 is expected";
}

TEST_F(fleet_service_test, Fetches_OfManyRevisions_AreAnsweredCorrectly)
{
    for (int index = 0; index < 20; ++index)
        add("s" + std::to_string(index));
    for (int after = 0; after < 20; ++after)
        EXPECT_EQ(countServers(fetch("/fleet?after=" + std::to_string(after))), 20U - static_cast<unsigned>(after));
    EXPECT_EQ(countServers(fetch("/fleet?after=none")), 20U)
        << "a revision that is not a number requests the complete fleet";
}

} // namespace
} // namespace acaciaslip::transport::loop
