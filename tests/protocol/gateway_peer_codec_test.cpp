#include "protocol/gateway_peer_codec.hpp"

#include "protocol/generated/gateway_peer_types.h"
#include "protocol/thrift_frame.hpp"

#include <limits>
#include <random>

#include <gtest/gtest.h>

namespace acaciaslip::protocol {
namespace {

using namespace std::chrono_literals;

class gateway_peer_codec_test : public testing::Test {
protected:
    static state::gateway::fleet_delta makeDelta()
    {
        state::gateway::fleet_delta delta { true, 0, {} };
        delta.changes.asOf = 77;
        auto& config = delta.changes.config.value.emplace();
        delta.changes.config.revisionNumber = 70;
        config.version = 12;
        config.limits = { 100, 200, 3s, 15s };
        config.routes = { { "r", "h", "/p/", state::gateway::request_kind::idempotent, 600ms, 1200ms, 2, 1,
            { { "a", 90 }, { "b", 10 } } } };
        config.services = { { "a", "/health", 220, 3s, 3.4 } };
        auto& changes = delta.configChanges.emplace();
        changes.revisionNumber = 75;
        changes.version = 13;
        changes.limits = config.limits;
        changes.routes = config.routes;
        changes.removedRoutes = { { "h", "/gone/" } };
        changes.services = config.services;
        changes.digest = 0xfedcba9876543210;
        delta.changes.servers["s1"]
            = { 71, state::gateway::server_entry { "s1", "a", "10.0.0.1:80", "dc-a", 4, true, 1500ms, 123456789 } };
        delta.changes.servers["s2"] = { 72, std::nullopt };
        delta.changes.evacuations["dc-b"] = { 73, state::gateway::evacuation {} };
        delta.changes.evacuations["dc-c"] = { 74, std::nullopt };
        return delta;
    }

    static state::gateway::peer_heartbeat makeHeartbeat()
    {
        state::gateway::peer_heartbeat heartbeat;
        heartbeat.sender = "10.0.0.9";
        heartbeat.dataCentre = "dc-a";
        heartbeat.incarnation = 42;
        heartbeat.replyRequested = true;
        heartbeat.store = state::gateway::store_access::away;
        heartbeat.storeUnsettled = true;
        heartbeat.asOf = 5;
        heartbeat.fleetTime = state::time_point { 700h };
        heartbeat.limits
            = { { "s1", 1.5, state::time_point { 699h } }, { "s2", std::nullopt, state::time_point { 1h } } };
        heartbeat.crashes = {
            { { 0xfedcba9876543210, 7 }, { { "s1", state::time_point { 698h }, state::time_point { 699h } } },
                state::time_point { 2h }, state::time_point { 700h }, state::gateway::digest_scope::exact, { 1, 8 } },
            { { 1, 8 }, { { "s2", state::time_point { 698h }, state::time_point { 699h }, true } }, std::nullopt,
                state::time_point { 700h }, state::gateway::digest_scope::any_query, {} }
        };
        heartbeat.classDemand = { { "a", 2, 250ms, 1.5, 100ms } };
        heartbeat.allowanceReports = { { 0xfedcba9876543210, 12, 3, 2, 1, std::nullopt },
            { 7, 500, 40, 20, 10, state::gateway::keeper_state { -2.5, 31.5, 90s } } };
        heartbeat.allowanceNotices = { { 0xfedcba9876543210, 0.25, 1500ms, 90s } };
        heartbeat.peers = { { "10.0.0.1", "dc-b", 1500ms } };
        return heartbeat;
    }
};

TEST_F(gateway_peer_codec_test, Delta_EncodedAndDecoded_IsEqual)
{
    const auto bytes = encodeDelta(makeDelta());
    ASSERT_TRUE(bytes.ok());
    const auto read = decodeDelta(*bytes);
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(*read, makeDelta());
}

/// Guards against a number that a host reads from the platform and its peers then reject with all else in the message.
TEST_F(gateway_peer_codec_test, Delta_WithLargestNumbers_IsEqual)
{
    constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
    auto delta = makeDelta();
    delta.changes.servers["s1"].value->slots = largest;
    auto& route = delta.changes.config.value->routes[0];
    route.attempts = largest;
    route.priority = largest;
    route.split[0].weight = largest;
    delta.changes.config.value->services[0].maxConnections = largest;
    delta.configChanges->routes = { route };
    delta.configChanges->services = delta.changes.config.value->services;
    const auto decoded = decodeDelta(encodeDelta(delta).value());
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, delta);
}

/// Guards against a heartbeat that is rejected whole because of the largest priority of a route.
TEST_F(gateway_peer_codec_test, Heartbeat_WithLargestNumbers_IsEqual)
{
    constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
    auto heartbeat = makeHeartbeat();
    heartbeat.classDemand = { { "a", largest, 250ms, 1.5, 100ms } };
    heartbeat.allowanceReports = { { 7, 500, 40, largest, largest, std::nullopt } };
    const auto decoded = decodeHeartbeat(encodeHeartbeat(heartbeat).value());
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, heartbeat);
}

/// Guards against a limit of a team that ends in all hosts once its keeper has run for eleven days.
TEST_F(gateway_peer_codec_test, Heartbeat_KeeperHasRunForYears_IsEqual)
{
    constexpr state::duration years = 24h * 365 * 20;
    auto heartbeat = makeHeartbeat();
    heartbeat.allowanceReports = { { 7, 500, 40, 20, 10, state::gateway::keeper_state { -2.5, 31.5, years } } };
    heartbeat.allowanceNotices = { { 7, 0.25, 1500ms, years } };
    const auto decoded = decodeHeartbeat(encodeHeartbeat(heartbeat).value());
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, heartbeat);
}

/// Guards against a part of a team that is lost between hosts, such as a priority of 0.
TEST_F(gateway_peer_codec_test, Delta_WithTeams_IsEqual)
{
    auto delta = makeDelta();
    delta.changes.config.value->routes[0].anonymous = true;
    delta.changes.config.value->teams = { { "t-1", { "k-1", "k-2" }, 0, 12.5, 40 }, { "t-2", {}, {}, 0, 0 } };
    delta.configChanges->routes[0].anonymous = true;
    delta.configChanges->teams = { { "t-3", { "k-3" }, 2147483647, 0.5, 0 } };
    delta.configChanges->removedTeams = { "t-2" };
    const auto encoded = encodeDelta(delta);
    ASSERT_TRUE(encoded.ok()) << encoded.status();
    const auto decoded = decodeDelta(*encoded);
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, delta);
}

/// Guards against a configuration of an older host that is taken for one without teams.
TEST_F(gateway_peer_codec_test, Configuration_WithoutTheField_HasNoTeams)
{
    gateway_wire::fleet_delta older;
    older.asOf = 7;
    older.__set_configNumber(6);
    gateway_wire::configuration config;
    config.version = 3;
    older.__set_config(config);
    const auto decoded = decodeDelta(encodeThrift(older, 1, 4096).value());
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_FALSE(decoded->changes.config.hasTeams);
    auto current = makeDelta();
    ASSERT_TRUE(current.changes.config.value->teams.empty());
    EXPECT_TRUE(decodeDelta(encodeDelta(current).value())->changes.config.hasTeams);
}

TEST_F(gateway_peer_codec_test, Team_NotUsable_DecodingFails)
{
    const std::vector<state::gateway::team> unusable { { "", { "k" }, {}, 0, 0 }, { "t", { "" }, {}, 0, 0 },
        { "t", { "k" }, {}, -1, 0 }, { "t", { "k" }, {}, 0, std::numeric_limits<double>::infinity() },
        { "t", { "k" }, {}, std::numeric_limits<double>::quiet_NaN(), 0 }, { "t", { "k" }, 2147483648, 0, 0 } };
    for (const auto& team : unusable) {
        auto delta = makeDelta();
        delta.changes.config.value->teams = { team };
        EXPECT_FALSE(decodeDelta(encodeDelta(delta).value()).ok());
        delta = makeDelta();
        delta.configChanges->teams = { team };
        EXPECT_FALSE(decodeDelta(encodeDelta(delta).value()).ok());
    }
}

TEST_F(gateway_peer_codec_test, Heartbeat_WithStoreNews_IsEqual)
{
    auto heartbeat = makeHeartbeat();
    heartbeat.storeNewsAt = state::time_point { 699h };
    const auto decoded = decodeHeartbeat(encodeHeartbeat(heartbeat).value());
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, heartbeat);
}

TEST_F(gateway_peer_codec_test, Heartbeat_EncodedAndDecoded_IsEqual)
{
    auto heartbeat = makeHeartbeat();
    heartbeat.delta = makeDelta();
    const auto read = decodeHeartbeat(*encodeHeartbeat(heartbeat));
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(*read, heartbeat);
}

TEST_F(gateway_peer_codec_test, Heartbeat_WithMaximumPeers_FitsInDatagram)
{
    auto heartbeat = makeHeartbeat();
    heartbeat.peers.assign(24, { "255.255.255.255", "a-data-centre", 14999ms });
    heartbeat.classDemand->assign(6, { "a-service-name", 1, 250ms, 1.5, 100ms });
    heartbeat.limits.assign(8, { "a-server-id-of-usual-length", 1.5, state::time_point { 700h } });
    EXPECT_TRUE(encodeHeartbeat(heartbeat).ok());
}

/// Guards against messages of allowances that exceed the datagram and would be dropped by the sender.
TEST_F(gateway_peer_codec_test, Heartbeat_WithMaximumAllowances_FitsInDatagram)
{
    constexpr std::uint64_t most = std::numeric_limits<std::int64_t>::max();
    constexpr std::uint32_t mostNew = std::numeric_limits<std::int32_t>::max();
    constexpr state::duration years = 24h * 365 * 20;
    state::gateway::peer_heartbeat reports;
    reports.sender = "255.255.255.255";
    reports.dataCentre = "a-data-centre-of-usual-length";
    reports.incarnation = std::numeric_limits<std::int64_t>::max();
    reports.asOf = most;
    reports.fleetTime = state::time_point { 7000h };
    auto notices = reports;
    reports.allowanceReports.assign(state::gateway::maxReportsPerDatagram,
        { ~0ULL >> 1U, most, most, mostNew, mostNew, state::gateway::keeper_state { -1e9, 1e9, years } });
    notices.allowanceNotices.assign(state::gateway::maxNoticesPerDatagram, { ~0ULL >> 1U, 0.123456789, 1h, years });
    EXPECT_TRUE(encodeHeartbeat(reports).ok());
    EXPECT_TRUE(encodeHeartbeat(notices).ok());
}

/// Guards against numbers from the network that would upset a keeper's bucket or admit a negative share.
TEST_F(gateway_peer_codec_test, Allowances_NumbersOutOfRange_AreRejected)
{
    for (const double ratio : { -0.1, 1.5, std::numeric_limits<double>::quiet_NaN() }) {
        auto heartbeat = makeHeartbeat();
        heartbeat.allowanceNotices = { { 7, ratio, 1s, 1s } };
        EXPECT_FALSE(decodeHeartbeat(*encodeHeartbeat(heartbeat)).ok()) << ratio;
    }
    for (const double demand : { -1.0, 1e300, std::numeric_limits<double>::infinity() }) {
        auto heartbeat = makeHeartbeat();
        heartbeat.allowanceReports = { { 7, 1, 1, 1, 1, state::gateway::keeper_state { 0, demand, 1s } } };
        EXPECT_FALSE(decodeHeartbeat(*encodeHeartbeat(heartbeat)).ok()) << demand;
    }
}

TEST_F(gateway_peer_codec_test, Heartbeat_TooLarge_EncodingFails)
{
    auto heartbeat = makeHeartbeat();
    heartbeat.peers.assign(200, { "255.255.255.255", "a-data-centre", 1ms });
    EXPECT_FALSE(encodeHeartbeat(heartbeat).ok());
}

TEST_F(gateway_peer_codec_test, Datagram_UnknownVersion_DecodingFails)
{
    auto bytes = *encodeHeartbeat(makeHeartbeat());
    bytes[0] = 9;
    EXPECT_FALSE(decodeHeartbeat(bytes).ok());
}

/// Any sender can reach the port: mutated datagrams must be decoded or rejected without a crash.
TEST_F(gateway_peer_codec_test, Datagram_Mutated_DecodedOrRejected)
{
    auto heartbeat = makeHeartbeat();
    heartbeat.delta = makeDelta();
    const auto good = *encodeHeartbeat(heartbeat);
    for (std::uint32_t seed = 1; seed <= 20000; ++seed) {
        std::mt19937 random(seed);
        auto bytes = good;
        for (int change = 0; change < 1 + static_cast<int>(random() % 4); ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            bytes.resize(random() % bytes.size());
        (void)decodeHeartbeat(bytes);
    }
}

} // namespace
} // namespace acaciaslip::protocol
