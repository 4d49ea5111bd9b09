#include "protocol/node_settings_reader.hpp"

#include "protocol/settings_texts.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace acaciaslip::protocol {
namespace {

using testing::HasSubstr;

class node_settings_reader_test : public testing::Test {
protected:
    [[nodiscard]] std::string errorOf() const
    {
        const auto settings = readNodeSettings(m_text, "node.yaml");
        return settings.ok() ? "accepted" : std::string(settings.status().message());
    }

    std::string m_text = makeValidNodeText();
};

TEST_F(node_settings_reader_test, Text_RequiredKeysOnly_UsesDefaults)
{
    const auto settings = readNodeSettings(m_text, "node.yaml");
    ASSERT_TRUE(settings.ok()) << settings.status().message();
    EXPECT_EQ(settings->id, "entry-a1");
    EXPECT_EQ(settings->logLevel, "info");
    EXPECT_TRUE(settings->seedPeers.empty());
}

TEST_F(node_settings_reader_test, Text_AllKeys_AllSettingsAreRead)
{
    m_text += "seed_peers: ['10.0.0.2:7400']\nlame_duck_ms: 50\nlog_level: debug\ncaller_threads: 7\n"
              "max_body_bytes: 1000\nmemory_bytes: 167772160\n";
    const auto settings = readNodeSettings(m_text, "node.yaml");
    ASSERT_TRUE(settings.ok()) << settings.status().message();
    EXPECT_EQ(settings->seedPeers, std::vector<std::string> { "10.0.0.2:7400" });
    EXPECT_EQ(settings->lameDuck, std::chrono::milliseconds { 50 });
    EXPECT_EQ(settings->logLevel, "debug");
    EXPECT_EQ(settings->ignoredKeys, std::vector<std::string> { "caller_threads" });
    EXPECT_EQ(settings->maxBodyBytes, 1000U);
    EXPECT_EQ(settings->memoryBytes, 167772160U);
}

TEST_F(node_settings_reader_test, Keys_AllMissing_AreReportedTogether)
{
    m_text = "{}";
    for (const auto* key : { "id", "data_centre", "callers", "peers", "operators", "platform" })
        EXPECT_THAT(errorOf(), HasSubstr(std::string("node.yaml:1:1: the key '") + key + "' is missing"));
}

TEST_F(node_settings_reader_test, Values_Invalid_AreEachReportedWithPosition)
{
    m_text += "lame_duck_ms: -1\nlog_level: inf\ncaller_threads: many\nlog_lvl: info\nmemory_bytes: 1000\n";
    const auto error = errorOf();
    EXPECT_THAT(error, HasSubstr("node.yaml:7:15: '-1' is out of range; write 0 to 600000 ms"));
    EXPECT_THAT(error, HasSubstr("node.yaml:8:12: 'inf' is not known here (did you mean 'info'?)"));
    EXPECT_THAT(error, HasSubstr("node.yaml:9:17: 'many' is not a whole number"));
    EXPECT_THAT(error, HasSubstr("node.yaml:11:15: '1000' is out of range; write 67108864 to 1099511627776 bytes"));
    EXPECT_THAT(error, HasSubstr("node.yaml:10:1: unknown key 'log_lvl' (did you mean 'log_level'?)"));
}

TEST_F(node_settings_reader_test, Address_NotNumericIpAndPort_IsRejected)
{
    m_text += "seed_peers: ['crew.example:80', '10.0.0.1:0', '10.0.0.256:80', '10.0.0.1', ':80']\n";
    const auto error = errorOf();
    for (const auto* address : { "crew.example:80", "10.0.0.1:0", "10.0.0.256:80", "10.0.0.1", ":80" })
        EXPECT_THAT(error, HasSubstr(std::string("'") + address + "' is not an address"));
}

TEST_F(node_settings_reader_test, Ports_Shared_AreRejected)
{
    m_text.replace(m_text.find("9090"), 4, "8080");
    EXPECT_THAT(errorOf(), HasSubstr("node.yaml:5:12: '127.0.0.1:8080' is also the address for callers"));
}

TEST_F(node_settings_reader_test, Text_NotYaml_IsRejectedWithPosition)
{
    m_text += "id: [\n";
    EXPECT_THAT(errorOf(), HasSubstr("node.yaml:"));
}

} // namespace
} // namespace acaciaslip::protocol
