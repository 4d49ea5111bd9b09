#include "app/command_fixture.hpp"

#include <filesystem>
#include <fstream>

#include <gmock/gmock.h>
#include <unistd.h>

namespace acaciaslip::app {
namespace {

using testing::HasSubstr;

class settings_commands_test : public testing::Test {
protected:
    void SetUp() override
    {
        m_folder = std::filesystem::temp_directory_path() / ("acaciaslip-" + std::to_string(getpid()));
        std::filesystem::create_directories(m_folder);
        std::filesystem::copy(examples + "/kierdicht", m_folder, std::filesystem::copy_options::recursive);
    }
    void TearDown() override { std::filesystem::remove_all(m_folder); }

    void append(const std::string& file, const std::string& text) const
    {
        std::ofstream(m_folder / file, std::ios::app) << text;
    }

    const std::string examples = ACACIASLIP_EXAMPLES; // NOLINT(readability-identifier-naming)
    std::filesystem::path m_folder;
};

TEST_F(settings_commands_test, Check_AnyExample_PassesWithoutWarnings)
{
    for (const auto* name : { "demo", "kierdicht", "tbilisi" }) {
        const auto result = runCommand({ "check", examples + '/' + name });
        EXPECT_EQ(result.code, 0) << result.errors;
        EXPECT_EQ(result.errors, "");
    }
}

TEST_F(settings_commands_test, Check_TeamFileOnly_UsesAdjacentTemplates)
{
    const auto result = runCommand({ "check", examples + "/tbilisi/acaciaslip/teams/tbilisi.yaml" });
    EXPECT_EQ(result.code, 0) << result.errors;
    EXPECT_THAT(result.errors, HasSubstr("also using the templates in"));
}

TEST_F(settings_commands_test, Check_SeveralInvalidFiles_ReportsEachErrorWithPath)
{
    append("node.yaml", "colour: red\n");
    append("acaciaslip/teams/kierdicht.yaml", "  - {use: lookups, with: {}}\n");
    const auto result = runCommand({ "check", m_folder.string() });
    EXPECT_EQ(result.code, 1);
    EXPECT_THAT(result.errors, HasSubstr((m_folder / "node.yaml").string() + ":11:1: unknown key 'colour'"));
    EXPECT_THAT(result.errors, HasSubstr("kierdicht.yaml:7:11: 'lookups' is not known here (did you mean 'lookup'?)"));
}

TEST_F(settings_commands_test, Check_FileOfUnknownKind_IsRejected)
{
    append("other.yaml", "a: 1\n");
    const auto result = runCommand({ "check", (m_folder / "other.yaml").string() });
    EXPECT_EQ(result.code, 1);
    EXPECT_THAT(result.errors, HasSubstr("neither a node.yaml nor a value of the platform"));
}

TEST_F(settings_commands_test, Check_ServerOfUnknownService_WarnsAndPasses)
{
    append("acaciaslip/hosts.yaml",
        "- {id: x1, address: '10.1.1.99:80', data_centre: dc-a, kind: server, team: kierdicht, service: later}\n");
    const auto result = runCommand({ "check", m_folder.string() });
    EXPECT_EQ(result.code, 0);
    EXPECT_THAT(result.errors, HasSubstr("host 'x1' serves kierdicht/later, which no team's settings define"));
}

TEST_F(settings_commands_test, Render_Team_PrintsAllKeysExpanded)
{
    const auto result = runCommand({ "render", examples + "/kierdicht" });
    EXPECT_EQ(result.code, 0) << result.errors;
    EXPECT_THAT(result.output, HasSubstr("team: 'kierdicht'"));
    EXPECT_THAT(result.output,
        HasSubstr("  - name: 'bookings'\n    path_prefix: '/bookings'\n    slots: 4\n"
                  "    connections: 200\n    idempotent: never\n    timeout_ms: 3000\n"));
}

} // namespace
} // namespace acaciaslip::app
