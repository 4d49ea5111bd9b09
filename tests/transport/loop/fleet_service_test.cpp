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

TEST_F(fleet_service_test, Fleet_NothingKnown_HasNothingToGive)
{
    EXPECT_EQ(fetch("/fleet?after=0").status, 503);
    EXPECT_EQ(fetch("/metrics").status, 0) << "not its request";
}

/// All hosts of a data centre start at once and ask the first that knows something.
TEST_F(fleet_service_test, Fetches_ManyAtOnce_AreWrittenOnce)
{
    for (int index = 0; index < 3000; ++index)
        add("s" + std::to_string(index));
    for (int host = 0; host < 300; ++host)
        ASSERT_EQ(fetch("/fleet?after=0").status, 200);
    EXPECT_EQ(countServers(fetch("/fleet?after=0")), 3000U);
    EXPECT_EQ(m_service.written(), 1U);
}

TEST_F(fleet_service_test, Fleet_Changed_IsGivenAsItIsNow)
{
    add("s1");
    EXPECT_EQ(countServers(fetch("/fleet?after=0")), 1U);
    add("s2");
    EXPECT_EQ(countServers(fetch("/fleet?after=0")), 2U);
    EXPECT_EQ(countServers(fetch("/fleet?after=1")), 1U) << "what a host that knows the first lacks";
}

TEST_F(fleet_service_test, Fetches_OfManyRevisions_KeepFewAnswers)
{
    for (int index = 0; index < 20; ++index)
        add("s" + std::to_string(index));
    for (int after = 0; after < 20; ++after)
        EXPECT_EQ(countServers(fetch("/fleet?after=" + std::to_string(after))), 20U - static_cast<unsigned>(after));
    EXPECT_EQ(countServers(fetch("/fleet?after=none")), 20U) << "what is no number asks for everything";
}

} // namespace
} // namespace acaciaslip::transport::loop
