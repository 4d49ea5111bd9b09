#include "protocol/http/message_parser.hpp"

#include <random>

#include <gtest/gtest.h>

namespace acaciaslip::protocol::http {
namespace {

class message_parser_test : public testing::Test {
protected:
    parse_progress feed(message_parser& parser, std::string_view text)
    {
        m_left = text;
        return parser.take(m_left);
    }

    message_parser m_requests { message_side::requests, { 1024, 100 } };
    message_parser m_answers { message_side::answers, { 1024, 100 } };
    std::string_view m_left;
};

TEST_F(message_parser_test, Request_WithLength_ReadWhole)
{
    ASSERT_EQ(
        feed(m_requests, "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"), parse_progress::whole);
    const auto request = m_requests.takeMessage();
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/a?b=c");
    EXPECT_EQ(request.body, "abc");
    EXPECT_TRUE(request.keepAlive);
}

TEST_F(message_parser_test, Request_Chunked_BodyIsPutTogether)
{
    ASSERT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
        parse_progress::whole);
    EXPECT_EQ(m_requests.takeMessage().body, "abc");
}

TEST_F(message_parser_test, Requests_Pipelined_ReadOneAfterTheOther)
{
    std::string_view input = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    ASSERT_EQ(m_requests.take(input), parse_progress::whole);
    EXPECT_EQ(m_requests.takeMessage().target, "/1");
    ASSERT_EQ(m_requests.take(input), parse_progress::whole);
    EXPECT_EQ(m_requests.takeMessage().target, "/2");
    EXPECT_TRUE(input.empty());
}

TEST_F(message_parser_test, Request_ByteByByte_SameAsAtOnce)
{
    const std::string text = "PUT /x HTTP/1.1\r\nA: b\r\nContent-Length: 2\r\n\r\nhi";
    auto progress = parse_progress::more;
    for (const char byte : text) {
        ASSERT_EQ(progress, parse_progress::more);
        progress = feed(m_requests, { &byte, 1 });
    }
    ASSERT_EQ(progress, parse_progress::whole);
    EXPECT_EQ(findHeader(m_requests.takeMessage(), "a"), "b");
}

TEST_F(message_parser_test, Request_LengthAndChunked_Malformed)
{
    EXPECT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        parse_progress::malformed);
}

TEST_F(message_parser_test, Request_TwoLengths_Malformed)
{
    EXPECT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
        parse_progress::malformed);
}

TEST_F(message_parser_test, Request_HeadTooLarge_Refused)
{
    EXPECT_EQ(feed(m_requests, "GET / HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n"),
        parse_progress::head_too_large);
}

TEST_F(message_parser_test, Request_BodyTooLarge_RefusedBeforeItIsRead)
{
    EXPECT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), parse_progress::body_too_large);
}

TEST_F(message_parser_test, Request_ExpectsContinue_ToldOnce)
{
    ASSERT_EQ(
        feed(m_requests, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"), parse_progress::more);
    EXPECT_TRUE(m_requests.takeExpectsContinue());
    EXPECT_FALSE(m_requests.takeExpectsContinue());
}

TEST_F(message_parser_test, Answer_WithoutLength_EndsWithTheConnection)
{
    ASSERT_EQ(feed(m_answers, "HTTP/1.1 200 OK\r\n\r\nabc"), parse_progress::more);
    ASSERT_EQ(m_answers.finish(), parse_progress::whole);
    const auto answer = m_answers.takeMessage();
    EXPECT_EQ(answer.body, "abc");
    EXPECT_TRUE(answer.endsWithConnection);
}

TEST_F(message_parser_test, Answer_CutInItsBody_Malformed)
{
    ASSERT_EQ(feed(m_answers, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"), parse_progress::more);
    EXPECT_EQ(m_answers.finish(), parse_progress::malformed);
}

TEST_F(message_parser_test, Answer_ToHead_HasNoBody)
{
    m_answers.expectNoBody();
    EXPECT_EQ(feed(m_answers, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), parse_progress::whole);
}

TEST_F(message_parser_test, Answer_ThatIsNone_Malformed)
{
    EXPECT_EQ(feed(m_answers, "\x16\x03\x01 garbage"), parse_progress::malformed);
}

TEST_F(message_parser_test, Answer_FollowedByBytes_BytesAreLeft)
{
    ASSERT_EQ(feed(m_answers, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200"), parse_progress::whole);
    EXPECT_EQ(m_left, "HTTP/1.1 200");
}

/// Mutated messages never crash the parser nor make it stand still.
TEST_F(message_parser_test, Messages_Mutated_EndOrProgress)
{
    const std::string good = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close, "
                             "x\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
        std::mt19937 random(seed);
        auto text = good;
        for (int change = 0; change < 3; ++change)
            text[random() % text.size()] = static_cast<char>(random());
        message_parser parser(message_side::requests, { 1024, 100 });
        std::string_view left = text;
        for (std::size_t steps = 0; !left.empty(); ++steps) {
            ASSERT_LT(steps, text.size() + 2) << "seed " << seed;
            const auto progress = parser.take(left);
            if (progress == parse_progress::whole)
                (void)parser.takeMessage();
            else if (progress != parse_progress::more)
                break;
        }
    }
}

} // namespace
} // namespace acaciaslip::protocol::http
