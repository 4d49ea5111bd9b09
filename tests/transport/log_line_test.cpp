#include "transport/log_line.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace acaciaslip::transport {
namespace {

class log_line_test : public testing::Test {
protected:
    static std::string format(const std::string& value)
    {
        const std::chrono::system_clock::time_point eventTime { std::chrono::milliseconds { 1'700'000'000'042 } };
        return formatLogLine({ coordination::log_level::warning, "value_refused", { { "why", value } } }, eventTime);
    }

    const std::string m_prefix = "time=2023-11-14T22:13:20.042Z level=warning event=value_refused why=";
};

TEST_F(log_line_test, Value_WithoutSpecialCharacters_IsWrittenUnquoted)
{
    EXPECT_EQ(format("entry-a1:8080/x"), m_prefix + "entry-a1:8080/x");
}

TEST_F(log_line_test, Value_EmptyOrWithSpecialCharacters_IsQuotedAndEscaped)
{
    EXPECT_EQ(format(""), m_prefix + "\"\"");
    EXPECT_EQ(format("a b"), m_prefix + "\"a b\"");
    EXPECT_EQ(format("x=1"), m_prefix + "\"x=1\"");
    EXPECT_EQ(format("say \"no\"\\"), m_prefix + "\"say \\\"no\\\"\\\\\"");
    EXPECT_EQ(format("a\nlevel=error event=forged"), m_prefix + "\"a\\nlevel=error event=forged\"");
    EXPECT_EQ(format(std::string("\r\t\x1b[2J\0", 7)), m_prefix + "\"\\x0d\\x09\\x1b[2J\\x00\"");
    EXPECT_EQ(format("\xe1\x83\xa7"), m_prefix + "\"\\xe1\\x83\\xa7\"");
    EXPECT_EQ(format("\x7f"), m_prefix + "\"\\x7f\"");
}

TEST_F(log_line_test, Value_RandomBytes_LineHasOnlyPrintableAscii)
{
    pcg32 random(7);
    for (int round = 0; round < 2000; ++round) {
        std::string value(random(40), ' ');
        for (auto& character : value)
            character = static_cast<char>(random(256));
        const auto line = format(value);
        EXPECT_TRUE(
            std::all_of(line.begin(), line.end(), [](char character) { return character >= ' ' && character < 0x7f; }));
    }
}

} // namespace
} // namespace acaciaslip::transport
