#include "protocol/http/message_parser.hpp"

#include <random>

#include <gtest/gtest.h>

namespace acaciaslip::protocol::http {
namespace {

class message_parser_test : public testing::Test {
protected:
    parse_status feed(message_parser& parser, std::string_view text)
    {
        m_left = text;
        return parser.consume(m_left);
    }

    /// Parses one request with a new parser.
    [[nodiscard]] static parse_status parseOne(std::string_view text, message_limits limits = { 1024, 100 })
    {
        message_parser parser(message_side::requests, limits);
        return parser.consume(text);
    }

    message_parser m_requests { message_side::requests, { 1024, 100 } };
    message_parser m_answers { message_side::answers, { 1024, 100 } };
    std::string_view m_left;
};

TEST_F(message_parser_test, Request_WithContentLength_Parsed)
{
    ASSERT_EQ(
        feed(m_requests, "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"), parse_status::complete);
    const auto request = m_requests.takeMessage();
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/a?b=c");
    EXPECT_EQ(request.body, "abc");
    EXPECT_TRUE(request.keepAlive);
}

TEST_F(message_parser_test, Request_Chunked_BodyDecoded)
{
    ASSERT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
        parse_status::complete);
    EXPECT_EQ(m_requests.takeMessage().body, "abc");
}

TEST_F(message_parser_test, Requests_Pipelined_ParsedInOrder)
{
    std::string_view input = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    ASSERT_EQ(m_requests.consume(input), parse_status::complete);
    EXPECT_EQ(m_requests.takeMessage().target, "/1");
    ASSERT_EQ(m_requests.consume(input), parse_status::complete);
    EXPECT_EQ(m_requests.takeMessage().target, "/2");
    EXPECT_TRUE(input.empty());
}

TEST_F(message_parser_test, Request_ReceivedByteByByte_Parsed)
{
    const std::string text = "PUT /x HTTP/1.1\r\nA: b\r\nContent-Length: 2\r\n\r\nhi";
    auto progress = parse_status::incomplete;
    for (const char byte : text) {
        ASSERT_EQ(progress, parse_status::incomplete);
        progress = feed(m_requests, { &byte, 1 });
    }
    ASSERT_EQ(progress, parse_status::complete);
    EXPECT_EQ(findHeader(m_requests.takeMessage(), "a"), "b");
}

TEST_F(message_parser_test, Request_ContentLengthAndChunked_Malformed)
{
    EXPECT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        parse_status::malformed);
}

TEST_F(message_parser_test, Request_DuplicateContentLength_Malformed)
{
    EXPECT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
        parse_status::malformed);
}

TEST_F(message_parser_test, Request_HeadTooLarge_Rejected)
{
    EXPECT_EQ(
        feed(m_requests, "GET / HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n"), parse_status::head_too_large);
}

TEST_F(message_parser_test, Request_BodyTooLarge_RejectedBeforeBodyIsRead)
{
    EXPECT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), parse_status::body_too_large);
}

TEST_F(message_parser_test, Request_ExpectContinue_ReportedOnce)
{
    ASSERT_EQ(feed(m_requests, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"),
        parse_status::incomplete);
    EXPECT_TRUE(m_requests.takeExpectsContinue());
    EXPECT_FALSE(m_requests.takeExpectsContinue());
}

TEST_F(message_parser_test, Response_WithoutLength_DelimitedByConnectionEnd)
{
    ASSERT_EQ(feed(m_answers, "HTTP/1.1 200 OK\r\n\r\nabc"), parse_status::incomplete);
    ASSERT_EQ(m_answers.finish(), parse_status::complete);
    const auto answer = m_answers.takeMessage();
    EXPECT_EQ(answer.body, "abc");
    EXPECT_TRUE(answer.closeDelimited);
}

TEST_F(message_parser_test, Response_BodyTruncated_Malformed)
{
    ASSERT_EQ(feed(m_answers, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"), parse_status::incomplete);
    EXPECT_EQ(m_answers.finish(), parse_status::malformed);
}

TEST_F(message_parser_test, Response_ToHead_HasNoBody)
{
    m_answers.expectNoBody();
    EXPECT_EQ(feed(m_answers, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), parse_status::complete);
}

TEST_F(message_parser_test, Response_NotHttp_Malformed)
{
    EXPECT_EQ(feed(m_answers, "\x16\x03\x01 garbage"), parse_status::malformed);
}

TEST_F(message_parser_test, Response_ToHeadAfterInterimResponse_HasNoBody)
{
    m_answers.expectNoBody();
    std::string_view input = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    ASSERT_EQ(m_answers.consume(input), parse_status::complete);
    EXPECT_EQ(m_answers.takeMessage().status, 103);
    EXPECT_EQ(m_answers.consume(input), parse_status::complete);
}

TEST_F(message_parser_test, Request_ConnectionOptions_DetermineKeepAlive)
{
    const auto isKeepAlive = [](const std::string& text) {
        message_parser parser(message_side::requests, { 1024, 100 });
        std::string_view input = text;
        EXPECT_EQ(parser.consume(input), parse_status::complete) << text;
        return parser.takeMessage().keepAlive;
    };
    EXPECT_FALSE(isKeepAlive("GET / HTTP/1.1\r\nHost: h\r\nConnection: a, Close\r\n\r\n"));
    EXPECT_FALSE(isKeepAlive("GET / HTTP/1.0\r\n\r\n"));
    EXPECT_TRUE(isKeepAlive("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
}

TEST_F(message_parser_test, Response_FollowedByBytes_NotConsumed)
{
    ASSERT_EQ(feed(m_answers, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200"), parse_status::complete);
    EXPECT_EQ(m_left, "HTTP/1.1 200");
}

TEST_F(message_parser_test, Request_AmbiguousFraming_Malformed)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    for (const auto* fields :
        { "Content-Length: 5\r\nContent-Length: 5\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding : chunked\r\n", "Content-Length : 5\r\n", "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: \r\n", "Content-Length: 5, 5\r\n",
            "Content-Length: +5\r\n", "Content-Length: -1\r\n", "Content-Length: 0x5\r\n", "Content-Length: 5 5\r\n",
            "Content-Length: \r\n", "Content-Length: five\r\n", "Content-Length: 99999999999999999999\r\n" })
        EXPECT_EQ(parseOne(start + fields + "\r\n0\r\n\r\n"), parse_status::malformed) << fields;
    EXPECT_EQ(parseOne("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), parse_status::malformed);
}

TEST_F(message_parser_test, Request_MalformedHeader_Malformed)
{
    const std::string start = "GET / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(parseOne(start + "A : b\r\n\r\n"), parse_status::malformed) << "space before the colon";
    EXPECT_EQ(parseOne(start + "A: b\r\n folded: c\r\n\r\n"), parse_status::malformed) << "folded line";
    EXPECT_EQ(parseOne(start + ": b\r\n\r\n"), parse_status::malformed) << "no name";
    EXPECT_EQ(parseOne(start + "no colon\r\n\r\n"), parse_status::malformed);
    EXPECT_EQ(parseOne(start + "A: b\nTransfer-Encoding: chunked\r\n\r\n"), parse_status::malformed) << "line feed";
    EXPECT_EQ(parseOne(start + "A: b\rc\r\n\r\n"), parse_status::malformed) << "carriage return";
    EXPECT_EQ(parseOne(start + std::string("A: b\0c\r\n\r\n", 10)), parse_status::malformed) << "NUL";
}

TEST_F(message_parser_test, RequestLine_Malformed_Rejected)
{
    const std::string rest = "\r\nHost: h\r\n\r\n";
    for (const auto* line : { "GET  / HTTP/1.1", "GET / HTTP/1.1 ", " GET / HTTP/1.1", "GET /", "GET / a HTTP/1.1", "",
             "G(T / HTTP/1.1", "GET /# HTTP/1.1", "GET /\t HTTP/1.1" })
        EXPECT_EQ(parseOne(line + rest), parse_status::malformed) << line;
    EXPECT_EQ(parseOne("GET / HTTP/2.0" + rest), parse_status::unknown_version);
}

TEST_F(message_parser_test, Request_TooManyHeadersOrLongLine_Rejected)
{
    message_limits limits { 65536, 100, 8000, 100 };
    std::string many = "GET / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(parseOne(many + "A: " + std::string(8000, 'a') + "\r\n\r\n", limits), parse_status::head_too_large);
    EXPECT_EQ(parseOne("GET /" + std::string(8000, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n", limits),
        parse_status::target_too_long);
    for (int index = 0; index < 100; ++index)
        many += "A: b\r\n";
    EXPECT_EQ(parseOne(many + "\r\n", limits), parse_status::head_too_large);
}

TEST_F(message_parser_test, ChunkedBody_Malformed_Rejected)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto* body : { "\r\n", "x\r\n", "-1\r\n", " 3\r\nabc\r\n", "0x3\r\nabc\r\n", "3\nabc\r\n",
             "3\r\nabcd\r\n", "3\r\nabc\n", "3\rX\r\n", "10000000000000000000\r\n", "3 \r\nabc\r\n" })
        EXPECT_EQ(parseOne(head + body), parse_status::malformed) << body;
    EXPECT_EQ(parseOne(head + "65\r\n"), parse_status::body_too_large) << "before the content is read";
}

TEST_F(message_parser_test, ChunkedBody_SplitAtRandomPositions_SameContent)
{
    const std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nrest";
    std::mt19937 random(11);
    for (int round = 0; round < 2000; ++round) {
        message_parser parser(message_side::requests, { 1024, 100 });
        auto progress = parse_status::incomplete;
        std::string left;
        for (std::size_t at = 0; at < text.size();) {
            const auto size = std::min<std::size_t>(1 + random() % 12, text.size() - at);
            std::string_view input = std::string_view(text).substr(at, size);
            progress = parser.consume(input);
            left += input;
            at += size;
        }
        ASSERT_EQ(progress, parse_status::complete);
        const auto request = parser.takeMessage();
        ASSERT_EQ(request.body, "abc0123456789");
        ASSERT_FALSE(findHeader(request, "Trailer")) << "a trailer must not become a header";
        ASSERT_EQ(left, "rest");
    }
}

TEST_F(message_parser_test, Response_AmbiguousFramingOrMalformedStatusLine_Malformed)
{
    for (const auto* fields :
        { "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" }) {
        message_parser parser(message_side::answers, { 1024, 100 });
        EXPECT_EQ(feed(parser, std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\n"), parse_status::malformed);
    }
    for (const auto* line : { "HTTP/1.1 2x0 OK", "HTTP/2 200 OK" }) {
        message_parser parser(message_side::answers, { 1024, 100 });
        EXPECT_EQ(feed(parser, std::string(line) + "\r\nContent-Length: 5\r\n\r\n"), parse_status::malformed);
    }
}

/// Guards against an answer of a server in trouble that reaches the caller with a status that HTTP does not know.
TEST_F(message_parser_test, Response_StatusOutOfRange_Malformed)
{
    for (const auto* status :
        { "000", "001", "099", "101", "600", "999", "-20", "+20", "20", "2000", " 200", "0xc8" }) {
        message_parser parser(message_side::answers, { 1024, 100 });
        EXPECT_EQ(feed(parser, "HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 0\r\n\r\n"),
            parse_status::malformed)
            << status;
    }
    for (const auto* status : { "200", "299", "404", "599" }) {
        message_parser parser(message_side::answers, { 1024, 100 });
        EXPECT_EQ(feed(parser, "HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 0\r\n\r\n"),
            parse_status::complete)
            << status;
    }
}

/// Guards against a line that is passed on although its name is none, and against framing fields that are not
/// recognized because of it.
TEST_F(message_parser_test, Response_FieldNameWithBlankOrControlByte_Malformed)
{
    for (const std::string& line : { std::string("Content-Length : 2"), std::string("Content-Length\t: 2"),
             std::string("Content Length: 2"), std::string(" Content-Length: 2"), std::string("\tA: b"),
             std::string("A\x01: b"), std::string("A\0B: b", 6), std::string("A\x7f: b"), std::string("A\r: b"),
             std::string("\x0b: b"), std::string(": b"), std::string("A"), std::string("A\xc3\xa4: b") }) {
        message_parser parser(message_side::answers, { 1024, 100 });
        const auto text = "HTTP/1.1 200 OK\r\n" + line + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        EXPECT_EQ(feed(parser, text), parse_status::malformed) << line;
    }
}

/// Guards against an answer that counts as complete although bytes that are no HTTP stand in its trailers.
TEST_F(message_parser_test, Response_TrailerMalformed_Malformed)
{
    for (const auto* trailer : { "garbage", "A b: c", "A : b", " A: b", ": b", "A\x01: b", "A: \x01" }) {
        message_parser parser(message_side::answers, { 1024, 100 });
        const auto text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n" + std::string(trailer)
            + "\r\n\r\n";
        EXPECT_EQ(feed(parser, text), parse_status::malformed) << trailer;
    }
}

/// Mutates a valid request at random. Requests that are still accepted must not have line breaks in the target or in
/// headers, which would allow header injection.
TEST_F(message_parser_test, Request_RandomChanges_NoLineBreaksInTargetOrHeaders)
{
    const std::string good
        = "POST /bookings?x=%41 HTTP/1.1\r\nHost: h:1\r\nContent-Length: 0\r\nConnection: close\r\nA: b, c\r\n\r\n";
    const std::string pool { '\r', '\n', '\t', ' ', ':', ',', '%', '0', '\0', 'a', 'Z', '\x7f', '\xff' };
    std::mt19937 random(7);
    int accepted = 0;
    for (int round = 0; round < 50000; ++round) {
        auto text = good;
        for (auto changes = 1 + random() % 4; changes > 0; --changes) {
            const auto at = random() % text.size();
            if (random() % 3 == 0)
                text.erase(at, 1 + random() % 3);
            else if (random() % 2 == 0)
                text.insert(at, 1, pool[random() % pool.size()]);
            else
                text[at] = pool[random() % pool.size()];
        }
        message_parser parser(message_side::requests, { 1024, 100 });
        if (feed(parser, text) != parse_status::complete)
            continue;
        ++accepted;
        const auto request = parser.takeMessage();
        const auto isClean = [](std::string_view of) { return of.find_first_of("\r\n") == std::string_view::npos; };
        ASSERT_TRUE(isClean(request.target)) << text;
        for (const auto& header : request.headers) {
            ASSERT_TRUE(isClean(header.name) && isClean(header.value)) << text;
            ASSERT_EQ(header.name.find_first_of(" \t:"), std::string::npos) << text;
        }
    }
    EXPECT_GT(accepted, 1000);
}

/// Mutated messages must not crash the parser or stop it from making progress.
TEST_F(message_parser_test, Messages_Mutated_ParserMakesProgress)
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
            const auto progress = parser.consume(left);
            if (progress == parse_status::complete)
                (void)parser.takeMessage();
            else if (progress != parse_status::incomplete)
                break;
        }
    }
}

} // namespace
} // namespace acaciaslip::protocol::http
