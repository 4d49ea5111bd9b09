#include "platform/item_reader.hpp"

#include "protocol/gateway_peer_codec.hpp"

#include <limits>
#include <random>

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::platform {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* entryText = R"({"address":"10.128.0.9:8080",
  "info":{"service":"huvo11a","version":"v1","zone":"midden-a","max-concurrency":4},
  "status":{"state":"ready","seq-no":4,"cold-left":"1500ms"},"born":1700000000123})";

constexpr const char* configurationText = R"({"version":"0000000c","limits":{"max-header-bytes":16384,
  "max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15s"},"base-version":"00000005",
  "listeners":[{"host":"hulo84.example","rules":[{"name":"r-1","kind":"idempotent","latency-slo":"600ms","priority":2,
    "match":{"path-prefix":"/leny950/"},"action":{"split":[{"service":"a","weight":90},{"service":"b","weight":10}],
    "timeout":"1.2s","attempts":2}}]},
   {"host":"jepu9.example","rules":[{"name":"r-2","kind":"non_idempotent","latency-slo":"800ms","priority":1,
    "match":{"path-prefix":"/puka111/"},"action":{"service":"c","timeout":"1500ms","attempts":2}}]}],
  "clusters":[{"name":"a","health-path":"/health","max-conns":220,"protocol":"h1","tls":false,"cold-start":"3s",
    "cold-per-s":3.4}]})";

class item_reader_test : public testing::Test {
protected:
    static json makeItem(const std::string& key, const std::string& value, int revision = 7)
    {
        return { { "key", key }, { "value", absl::Base64Escape(value) }, { "revision", revision } };
    }

    state::gateway::published_fleet m_fleet;
};

TEST_F(item_reader_test, Entry_Complete_AllFieldsAreRead)
{
    const auto entry = readServerEntry("i-1", entryText);
    ASSERT_TRUE(entry.ok()) << entry.status();
    EXPECT_EQ(*entry,
        (state::gateway::server_entry {
            "i-1", "huvo11a", "10.128.0.9:8080", "midden-a", 4, false, 1500ms, 1700000000123 }));
}

TEST_F(item_reader_test, Configuration_SeveralErrors_AllAreReportedWithPosition)
{
    auto text = json::parse(configurationText);
    text["limits"].erase("idle-timeout");
    text["listeners"][0]["rules"][0]["action"]["timeout"] = "soon";
    text["listeners"][1]["rules"][0].erase("kind");
    text["clusters"][0]["max-conns"] = -1;
    const auto config = readConfiguration(text.dump());
    ASSERT_FALSE(config.ok());
    const std::string message(config.status().message());
    for (const auto* error : { "limits: field 'idle-timeout'", "listeners[0].rules[0]: field 'timeout'",
             "listeners[1].rules[0]: field 'kind'", "clusters[0]: field 'max-conns'" })
        EXPECT_NE(message.find(error), std::string::npos) << message;
}

TEST_F(item_reader_test, Entry_FieldOfWrongType_IsRejectedWithFieldName)
{
    for (const auto* pointer :
        { "/address", "/info/service", "/info/zone", "/info/max-concurrency", "/status/state", "/status/cold-left" }) {
        auto text = json::parse(entryText);
        text[json::json_pointer(pointer)] = json::array();
        const auto entry = readServerEntry("i-1", text.dump());
        ASSERT_FALSE(entry.ok()) << pointer;
        const std::string field = std::string(pointer).substr(std::string(pointer).rfind('/') + 1);
        EXPECT_NE(std::string(entry.status().message()).find(field), std::string::npos) << entry.status();
    }
}

/// Guards against an entry that is accepted from the store but rejected by peers.
TEST_F(item_reader_test, Entry_LargestNumbers_ReachesPeers)
{
    auto text = json::parse(entryText);
    text["info"]["max-concurrency"] = std::numeric_limits<std::uint32_t>::max();
    text["status"]["cold-left"] = "1000000s";
    text["born"] = std::numeric_limits<std::int64_t>::max();
    ASSERT_TRUE(addItem(makeItem("servers/i-1", text.dump()), m_fleet).ok());
    state::gateway::fleet_delta delta;
    delta.changes = m_fleet;
    const auto received = protocol::decodeDelta(protocol::encodeDelta(delta).value());
    ASSERT_TRUE(received.ok()) << received.status();
    EXPECT_EQ(received->changes.servers, m_fleet.servers);
}

TEST_F(item_reader_test, Entry_NumberBeyondItsRange_IsRejected)
{
    for (const auto* number : { "4294967296", "1e999", "-1", "0" }) {
        std::string text = entryText;
        text.replace(text.find(":4}") + 1, 1, number);
        EXPECT_FALSE(readServerEntry("i-1", text).ok()) << number;
    }
}

/// Guards against endless probes of a server whose address is invalid.
TEST_F(item_reader_test, Entry_AddressUnusable_IsRejected)
{
    for (const auto* address :
        { "10.128.0.9", "10.128.0.9:70000", "10.128.0.9:0", "10.128.0.9:-1", "host:80", ":80" }) {
        auto text = json::parse(entryText);
        text["address"] = address;
        EXPECT_FALSE(readServerEntry("i-1", text.dump()).ok()) << address;
    }
}

/// Guards against entries that together exceed the size limit of a peer message.
TEST_F(item_reader_test, Entry_NameVeryLong_IsRejected)
{
    for (const auto* field : { "service", "zone" }) {
        auto text = json::parse(entryText);
        text["info"][field] = std::string(1025, 'x');
        EXPECT_FALSE(readServerEntry("i-1", text.dump()).ok()) << field;
    }
}

TEST_F(item_reader_test, Entry_StateUnknown_IsRejected)
{
    auto text = json::parse(entryText);
    text["status"]["state"] = "napping";
    EXPECT_FALSE(readServerEntry("i-1", text.dump()).ok());
}

TEST_F(item_reader_test, Configuration_Complete_RoutesSplitsAndServicesAreRead)
{
    const auto config = readConfiguration(configurationText);
    ASSERT_TRUE(config.ok()) << config.status();
    EXPECT_EQ(config->version, 12U);
    ASSERT_EQ(config->routes.size(), 2U);
    EXPECT_EQ(config->routes[0].split.size(), 2U);
    EXPECT_EQ(config->routes[0].timeout, 1200ms);
    EXPECT_EQ(config->routes[0].kind, state::gateway::request_kind::idempotent);
    EXPECT_EQ(config->routes[1].kind, state::gateway::request_kind::non_idempotent);
    EXPECT_EQ(config->routes[1].host, "jepu9.example");
    EXPECT_EQ(config->services[0].coldRequestsPerSecond, 3.4);
    EXPECT_EQ(config->limits.idleTimeout, 15s);
}

TEST_F(item_reader_test, Configuration_KindUnknown_IsReadAsNonIdempotent)
{
    auto text = json::parse(configurationText);
    text["listeners"][0]["rules"][0]["kind"] = "something-new";
    EXPECT_EQ(readConfiguration(text.dump())->routes[0].kind, state::gateway::request_kind::non_idempotent);
}

TEST_F(item_reader_test, Item_Removed_LeavesRevisionWithoutValue)
{
    ASSERT_TRUE(addItem({ { "key", "servers/i-1" }, { "revision", 9 }, { "compacted", true } }, m_fleet).ok());
    EXPECT_EQ(m_fleet.servers.at("i-1").revisionNumber, 9U);
    EXPECT_FALSE(m_fleet.servers.at("i-1").value);
}

TEST_F(item_reader_test, Item_Unreadable_CountsAsAbsent)
{
    EXPECT_FALSE(addItem(makeItem("servers/i-1", "\x01\x02 not json"), m_fleet).ok());
    EXPECT_FALSE(m_fleet.servers.at("i-1").value);
}

TEST_F(item_reader_test, Evacuation_SetAndRemoved_IsRead)
{
    ASSERT_TRUE(addItem(makeItem("op/evacuate/midden-a", "{}"), m_fleet).ok());
    EXPECT_TRUE(m_fleet.evacuations.at("midden-a").value);
    ASSERT_TRUE(addItem({ { "key", "op/evacuate/midden-a" }, { "revision", 9 }, { "compacted", true } }, m_fleet).ok());
    EXPECT_FALSE(m_fleet.evacuations.at("midden-a").value);
}

TEST_F(item_reader_test, Items_Mutated_AreReadOrRejected)
{
    const auto mutate = [](std::string text, std::uint32_t seed) {
        std::mt19937 random(seed);
        for (int change = 0; change < 3; ++change)
            text[random() % text.size()] = static_cast<char>(random());
        return text;
    };
    for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
        (void)readServerEntry("i", mutate(entryText, seed));
        (void)readConfiguration(mutate(configurationText, seed));
        (void)addItem(makeItem("servers/i", mutate(entryText, seed)), m_fleet);
    }
}

TEST_F(item_reader_test, Entry_NestedVeryDeep_IsRejected)
{
    constexpr std::size_t depth = 100000;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    EXPECT_FALSE(readServerEntry("i-1", nested).ok());
    EXPECT_FALSE(readConfiguration(nested).ok());
}

} // namespace
} // namespace acaciaslip::platform
