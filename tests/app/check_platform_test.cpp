#include "app/command_fixture.hpp"

#include <filesystem>
#include <fstream>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <unistd.h>

namespace acaciaslip::app {
namespace {

using testing::HasSubstr;

constexpr auto validConfiguration = R"({"version":"0000000c","limits":{"max-header-bytes":16384,
  "max-body-bytes":67108864,"header-timeout":"3s","idle-timeout":"15s"},
  "listeners":[{"host":"shop.example","rules":[{"name":"r-1","kind":"idempotent","latency-slo":"600ms",
    "match":{"path-prefix":"/a/"},"action":{"service":"a","timeout":"1.2s","attempts":2}}]}],
  "clusters":[{"name":"a","health-path":"/health","max-conns":220}]})";

class check_platform_test : public testing::Test {
protected:
    check_platform_test() { std::filesystem::create_directories(m_folder); }
    ~check_platform_test() override { std::filesystem::remove_all(m_folder); }

    [[nodiscard]] command_result check(const std::string& name, const std::string& text) const
    {
        const auto path = (m_folder / name).string();
        std::ofstream(path) << text;
        return runCommand({ "check-platform", path });
    }

    const std::filesystem::path m_folder
        = std::filesystem::temp_directory_path() / fmt::format("acaciaslip-check-{}", getpid());
};

TEST_F(check_platform_test, Configuration_Valid_IsReportedAsGood)
{
    const auto result = check("config.json", validConfiguration);
    EXPECT_EQ(result.code, 0) << result.errors;
    EXPECT_THAT(result.output, HasSubstr("config.json: good"));
}

TEST_F(check_platform_test, Configuration_RouteToUnknownService_IsReported)
{
    std::string text = validConfiguration;
    text.replace(text.find("\"service\":\"a\""), 13, "\"service\":\"b\"");
    const auto result = check("config.json", text);
    EXPECT_EQ(result.code, 1);
    EXPECT_THAT(result.errors, HasSubstr("route 'r-1' goes to service 'b'"));
}

TEST_F(check_platform_test, Settings_SeveralErrors_AreAllReportedWithLocation)
{
    const auto result
        = check("settings.yaml", "self: {node-name: front-1, ip: 10.0.0.1}\nterms: {bounds: {grace: soon}}\n");
    EXPECT_EQ(result.code, 1);
    for (const auto* error : { "self.zone", "network.listen.front", "settings.yaml:2:25: terms.bounds.grace" })
        EXPECT_THAT(result.errors, HasSubstr(error));
}

TEST_F(check_platform_test, File_Missing_IsReported)
{
    const auto result = runCommand({ "check-platform", (m_folder / "none.json").string() });
    EXPECT_EQ(result.code, 1);
    EXPECT_THAT(result.errors, HasSubstr("cannot be read"));
}

} // namespace
} // namespace acaciaslip::app
