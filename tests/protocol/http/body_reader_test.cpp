#include "protocol/http/body_reader.hpp"

#include <random>

#include <gtest/gtest.h>

namespace acaciaslip::protocol::http {
namespace {

constexpr std::uint64_t maxBytes = 1000;

class body_reader_test : public testing::Test {
protected:
    [[nodiscard]] static parse_status readChunked(std::string_view text)
    {
        body_reader reader(body_framing::chunked, 0, maxBytes);
        return reader.consume(text);
    }
};

TEST_F(body_reader_test, LengthBody_BytesAfterBody_NotConsumed)
{
    body_reader reader(body_framing::length, 3, maxBytes);
    std::string_view input = "ab";
    EXPECT_EQ(reader.consume(input), parse_status::incomplete);
    input = "cGET /";
    EXPECT_EQ(reader.consume(input), parse_status::complete);
    EXPECT_EQ(input, "GET /");
    EXPECT_EQ(reader.content(), "abc");
}

TEST_F(body_reader_test, ChunkedBody_SplitAtRandomPositions_SameContent)
{
    const std::string text = "3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nrest";
    std::mt19937 random(11);
    for (int round = 0; round < 2000; ++round) {
        body_reader reader(body_framing::chunked, 0, maxBytes);
        auto progress = parse_status::incomplete;
        std::string left;
        for (std::size_t at = 0; at < text.size();) {
            const auto size = std::min<std::size_t>(1 + random() % 12, text.size() - at);
            std::string_view input = std::string_view(text).substr(at, size);
            progress = reader.consume(input);
            left += input;
            at += size;
        }
        ASSERT_EQ(progress, parse_status::complete);
        ASSERT_EQ(reader.content(), "abc0123456789");
        ASSERT_EQ(left, "rest");
    }
}

TEST_F(body_reader_test, ChunkedBody_Malformed_Rejected)
{
    for (const auto* text : { "\r\n", "x\r\n", "-1\r\n", " 3\r\nabc\r\n", "0x3\r\nabc\r\n", "3\nabc\r\n",
             "3\r\nabcd\r\n", "3\r\nabc\n", "3\rX\r\n", "1000000000000000\r\n", "3 \r\nabc\r\n" })
        EXPECT_EQ(readChunked(text), parse_status::malformed) << text;
}

TEST_F(body_reader_test, ChunkedBody_OverLimit_RejectedBeforeContentIsRead)
{
    EXPECT_EQ(readChunked("3e9\r\n"), parse_status::body_too_large);
    EXPECT_EQ(readChunked("ffffffffffffff\r\n"), parse_status::body_too_large);
    EXPECT_EQ(readChunked("3e8\r\n"), parse_status::incomplete);
}

std::string repeatChunk(const std::string& chunk, std::size_t count)
{
    std::string text;
    for (std::size_t index = 0; index < count; ++index)
        text += chunk;
    return text;
}

/// Chunks of one byte without end took seconds of the loop's time before the body became too large.
TEST_F(body_reader_test, ChunkedBody_TinyChunksWithoutEnd_Rejected)
{
    constexpr std::size_t chunks = 20000;
    for (const std::string chunk : { "1\r\nx\r\n", "0000001\r\nx\r\n", "2;a=b\r\nxy\r\n" }) {
        body_reader reader(body_framing::chunked, 0, UINT64_MAX);
        const auto text = repeatChunk(chunk, chunks);
        std::string_view input = text;
        EXPECT_EQ(reader.consume(input), parse_status::malformed) << chunk;
    }
}

TEST_F(body_reader_test, ChunkedBody_SmallChunks_AreRead)
{
    struct sample {
        const char* chunk;
        std::size_t count;
    };
    for (const auto& [chunk, count] : { sample { "1\r\nx\r\n", 3000 }, sample { "8\r\n12345678\r\n", 100000 } }) {
        body_reader reader(body_framing::chunked, 0, UINT64_MAX);
        const auto text = repeatChunk(chunk, count) + "0\r\n\r\n";
        std::string_view input = text;
        EXPECT_EQ(reader.consume(input), parse_status::complete) << chunk;
    }
}

} // namespace
} // namespace acaciaslip::protocol::http
