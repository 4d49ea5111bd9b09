#include "app/command_fixture.hpp"

#include <gmock/gmock.h>

namespace acaciaslip::app {
namespace {

using testing::HasSubstr;

class command_line_test : public testing::Test { };

TEST_F(command_line_test, Command_MissingOrUnknown_IsUsageError)
{
    EXPECT_EQ(runCommand({}).code, 2);
    const auto unknown = runCommand({ "chekc" });
    EXPECT_EQ(unknown.code, 2);
    EXPECT_THAT(unknown.errors, HasSubstr("unknown command 'chekc'"));
}

TEST_F(command_line_test, Operands_WrongNumberOrOption_IsUsageErrorAndPrintsUsage)
{
    for (const std::vector<std::string>& words : std::vector<std::vector<std::string>> { { "serve" }, { "check" },
             { "render" }, { "dump" }, { "dump", "a", "b" }, { "status" }, { "drain" }, { "check", "--json", "x" },
             { "serve", "--settings", "x", "y" } }) {
        const auto result = runCommand(words);
        EXPECT_EQ(result.code, 2) << words.front();
        EXPECT_THAT(result.errors, HasSubstr("usage: acaciaslip " + words.front()));
    }
}

TEST_F(command_line_test, Help_AnyCommand_PrintsSynopsis)
{
    EXPECT_THAT(runCommand({ "--help" }).output, HasSubstr("Exit codes: 0"));
    for (const auto* name : { "serve", "check", "render", "dump", "status", "drain" }) {
        const auto result = runCommand({ name, "--help" });
        EXPECT_EQ(result.code, 0);
        EXPECT_THAT(result.output, HasSubstr(std::string("acaciaslip ") + name));
    }
}

TEST_F(command_line_test, Version_Requested_IsPrinted)
{
    EXPECT_EQ(runCommand({ "--version" }).output, "acaciaslip " ACACIASLIP_VERSION "\n");
}

TEST_F(command_line_test, Serve_MissingFile_IsReported)
{
    const auto result = runCommand({ "serve", "--settings", "/nowhere/node.yaml" });
    EXPECT_EQ(result.code, 1);
    EXPECT_THAT(result.errors, HasSubstr("/nowhere/node.yaml cannot be read"));
}

TEST_F(command_line_test, Node_Unreachable_IsReportedAndFails)
{
    const std::string unusedAddress = "127.0.0.1:1";
    for (const auto* name : { "dump", "drain" }) {
        const auto result = runCommand({ name, unusedAddress });
        EXPECT_EQ(result.code, 1);
        EXPECT_THAT(result.errors, HasSubstr("did not answer"));
    }
    const auto status = runCommand({ "status", unusedAddress });
    EXPECT_EQ(status.code, 1);
    EXPECT_THAT(status.output, HasSubstr("NO ANSWER: 127.0.0.1:1"));
    EXPECT_EQ(runCommand({ "dump", "nonsense" }).code, 1);
}

} // namespace
} // namespace acaciaslip::app
