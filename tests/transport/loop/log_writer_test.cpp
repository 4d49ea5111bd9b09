#include "transport/loop/log_writer.hpp"

#include <array>
#include <string>

#include <gtest/gtest.h>
#include <unistd.h>

namespace acaciaslip::transport::loop {
namespace {

class log_writer_test : public testing::Test {
protected:
    log_writer_test() { EXPECT_EQ(::pipe(m_pipe.data()), 0); }
    ~log_writer_test() override
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    std::string readAll()
    {
        std::string text(1U << 20U, '\0');
        const auto count = ::read(m_pipe[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        return text;
    }

    std::array<int, 2> m_pipe {};
};

TEST_F(log_writer_test, Lines_Flushed_AreWrittenFromLowestLevelUp)
{
    log_writer log(m_pipe[1], coordination::log_level::info);
    log.write({ coordination::log_level::info, "started", { { "id", "entry 1" } } });
    log.write({ coordination::log_level::debug, "hidden", {} });
    log.flush();
    const auto text = readAll();
    EXPECT_NE(text.find("event=started id=\"entry 1\"\n"), std::string::npos) << text;
    EXPECT_EQ(text.find("hidden"), std::string::npos);
}

TEST_F(log_writer_test, Reader_Stalled_LinesAreDroppedAndReportedLater)
{
    log_writer log(m_pipe[1], coordination::log_level::info);
    for (int line = 0; line < 20000; ++line) {
        log.write({ coordination::log_level::warning, "busy", { { "number", std::to_string(line) } } });
        if (line % 10 == 0)
            log.flush();
    }
    EXPECT_GT(log.dropped(), 1000U);
    std::string text;
    for (int round = 0; round < 10; ++round) {
        text += readAll();
        log.write({ coordination::log_level::warning, "after", {} });
        log.flush();
    }
    EXPECT_NE(text.find("event=log_lines_dropped lines="), std::string::npos);
}

TEST_F(log_writer_test, InfoLines_BeyondRateLimit_AreDroppedButWarningsAreNot)
{
    log_writer log(m_pipe[1], coordination::log_level::info);
    for (int line = 0; line < 5000; ++line)
        log.write({ coordination::log_level::info, "x", {} });
    EXPECT_GT(log.dropped(), 2000U);
    log.write({ coordination::log_level::warning, "heard", {} });
    log.flush();
    std::string text;
    while (text.find("event=heard") == std::string::npos) {
        const auto more = readAll();
        ASSERT_FALSE(more.empty());
        text += more;
        log.flush();
    }
    EXPECT_NE(text.find("event=log_lines_dropped"), std::string::npos);
}

} // namespace
} // namespace acaciaslip::transport::loop
