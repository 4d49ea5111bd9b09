#include "protocol/http_head.hpp"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

namespace acaciaslip::protocol {
namespace {

class http_head_test : public testing::Test {
protected:
    [[nodiscard]] int statusOf(const std::string& text) const
    {
        const auto read = readRequestHead(text, m_limits);
        const auto* refusal = std::get_if<head_refusal>(&read);
        return refusal == nullptr ? 0 : refusal->status;
    }

    [[nodiscard]] request_head readGood(const std::string& text) const
    {
        const auto read = readRequestHead(text, m_limits);
        EXPECT_TRUE(std::holds_alternative<request_head>(read)) << text;
        return std::holds_alternative<request_head>(read) ? std::get<request_head>(read) : request_head {};
    }

    [[nodiscard]] bool isGoodAnswer(const std::string& text) const
    {
        return readAnswerHead(text, false, m_limits).has_value();
    }

    message_limits m_limits;
};

TEST_F(http_head_test, RequestHead_WellFormed_IsRead)
{
    const auto head = readGood("POST /a?b=c?d HTTP/1.1\r\nHost: h:80\r\ncontent-length:  12 \r\n\r\n");
    EXPECT_EQ(head.method, "POST");
    EXPECT_EQ(head.target, "/a?b=c?d");
    EXPECT_EQ(head.framing, body_framing::length);
    EXPECT_EQ(head.bodyLength, 12U);
    EXPECT_TRUE(head.keepAlive);
}

TEST_F(http_head_test, RequestHead_AmbiguousFraming_IsRefused)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(statusOf(start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
    EXPECT_EQ(statusOf(start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n"), 400);
    EXPECT_EQ(statusOf(start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n"), 400);
    EXPECT_EQ(statusOf(start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
    for (const auto* length : { "5, 5", "+5", "-1", "0x5", "5 5", "", "five", "99999999999999999999" })
        EXPECT_EQ(statusOf(start + "Content-Length: " + length + "\r\n\r\n"), 400) << length;
    for (const auto* encoding : { "gzip", "gzip, chunked", "identity", "chunked, chunked", "" })
        EXPECT_EQ(statusOf(start + "Transfer-Encoding: " + encoding + "\r\n\r\n"), 400) << encoding;
    EXPECT_EQ(statusOf("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
}

TEST_F(http_head_test, RequestHead_MalformedHeader_IsRefused)
{
    const std::string start = "GET / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(statusOf(start + "Content-Length : 5\r\n\r\n"), 400) << "space before the colon";
    EXPECT_EQ(statusOf(start + "A: b\r\n folded: c\r\n\r\n"), 400) << "folded line";
    EXPECT_EQ(statusOf(start + ": b\r\n\r\n"), 400) << "no name";
    EXPECT_EQ(statusOf(start + "no colon\r\n\r\n"), 400);
    EXPECT_EQ(statusOf(start + "A: b\nTransfer-Encoding: chunked\r\n\r\n"), 400) << "bare line feed";
    EXPECT_EQ(statusOf(start + "A: b\rc\r\n\r\n"), 400) << "bare carriage return";
    EXPECT_EQ(statusOf(start + std::string("A: b\0c\r\n\r\n", 10)), 400) << "NUL";
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\n\r\n"), 400) << "no Host";
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n"), 400) << "two Hosts";
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nHost: a/b\r\n\r\n"), 400);
}

TEST_F(http_head_test, RequestLine_Malformed_IsRefused)
{
    const std::string rest = "\r\nHost: h\r\n\r\n";
    for (const auto* line : { "GET  / HTTP/1.1", "GET / HTTP/1.1 ", " GET / HTTP/1.1", "GET /", "GET / a HTTP/1.1", "",
             "G(T / HTTP/1.1", "GET /# HTTP/1.1", "GET /\t HTTP/1.1", "GET http://h/ HTTP/1.1", "GET * HTTP/1.1" })
        EXPECT_EQ(statusOf(line + rest), 400) << line;
    EXPECT_EQ(statusOf("GET / HTTP/2.0" + rest), 505);
    EXPECT_EQ(statusOf("CONNECT / HTTP/1.1" + rest), 501);
    EXPECT_EQ(statusOf("GET /" + std::string(m_limits.lineBytes, 'a') + " HTTP/1.1" + rest), 414);
}

TEST_F(http_head_test, RequestHead_OverLimits_IsRefusedByItsOwnStatus)
{
    const std::string start = "GET / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(statusOf(start + "Content-Length: 8388609\r\n\r\n"), 413);
    EXPECT_EQ(statusOf(start + "Content-Length: 8388608\r\n\r\n"), 0);
    EXPECT_EQ(statusOf(start + "A: " + std::string(m_limits.lineBytes, 'a') + "\r\n\r\n"), 431);
    std::string many = start;
    for (std::size_t index = 0; index <= m_limits.headers; ++index)
        many += "A: b\r\n";
    EXPECT_EQ(statusOf(many + "\r\n"), 431);
    EXPECT_EQ(statusOf(start + "Expect: tea\r\n\r\n"), 417);
}

TEST_F(http_head_test, CheckedHead_PercentSigns_AreEscapedForTheLibrary)
{
    const auto head = readGood("GET /%41 HTTP/1.1\r\nHost: h\r\nA: x%0d%0aEvil: 1\r\n\r\n");
    EXPECT_NE(head.checked.find("GET /%41 HTTP/1.1"), std::string::npos);
    EXPECT_NE(head.checked.find("A: x%250d%250aEvil: 1\r\n"), std::string::npos);
}

TEST_F(http_head_test, CheckedHead_CallersOwnHeaders_AreLeftOut)
{
    const auto head = readGood("GET / HTTP/1.1\r\nHost: h\r\nacaciaslip-request: 1\r\nRange: bytes=0-1\r\n\r\n");
    EXPECT_EQ(head.checked.find("acaciaslip-request"), std::string::npos);
    EXPECT_NE(head.checked.find("Acaciaslip-Range: bytes=0-1"), std::string::npos);
}

TEST_F(http_head_test, KeepAlive_CloseAmongConnectionOptions_Ends)
{
    EXPECT_FALSE(readGood("GET / HTTP/1.1\r\nHost: h\r\nConnection: a, Close\r\n\r\n").keepAlive);
    EXPECT_FALSE(readGood("GET / HTTP/1.0\r\n\r\n").keepAlive);
}

TEST_F(http_head_test, AnswerHead_EndInDoubt_IsNotTaken)
{
    EXPECT_TRUE(isGoodAnswer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
    EXPECT_TRUE(isGoodAnswer("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n"));
    EXPECT_TRUE(isGoodAnswer("HTTP/1.1 304 Not Modified\r\n\r\n"));
    EXPECT_FALSE(isGoodAnswer("HTTP/1.1 200 OK\r\n\r\n")) << "only the connection's end would tell the body's";
    EXPECT_FALSE(isGoodAnswer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"));
    EXPECT_FALSE(isGoodAnswer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"));
    EXPECT_FALSE(isGoodAnswer("HTTP/1.1 200 OK\r\nContent-Length: 8388609\r\n\r\n"));
    EXPECT_FALSE(isGoodAnswer("HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\n"));
    EXPECT_FALSE(isGoodAnswer("HTTP/2 200 OK\r\nContent-Length: 5\r\n\r\n"));
}

TEST_F(http_head_test, AnswerToHead_DeclaresLength_HasNoBody)
{
    const auto head = readAnswerHead("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true, m_limits);
    ASSERT_TRUE(head);
    EXPECT_EQ(head->framing, body_framing::none);
    EXPECT_EQ(head->declaredLength, 5U);
}

/// Changes a few bytes of a good head at random: what is still taken must be read the same a second time, and must
/// hold no line that the first reading did not see as one.
TEST_F(http_head_test, RequestHead_RandomChanges_NeverSmuggleALine)
{
    const std::string good
        = "POST /bookings?x=%41 HTTP/1.1\r\nHost: h:1\r\nContent-Length: 10\r\nConnection: close\r\nA: b, c\r\n\r\n";
    const std::string pool { '\r', '\n', '\t', ' ', ':', ',', '%', '0', '\0', 'a', 'Z', '\x7f', '\xff' };
    std::mt19937 random(7);
    int taken = 0;
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
        const auto read = readRequestHead(text, m_limits);
        const auto* head = std::get_if<request_head>(&read);
        if (head == nullptr)
            continue;
        ++taken;
        const auto lines = [](const std::string& of) { return std::count(of.begin(), of.end(), '\n'); };
        ASSERT_LE(lines(head->checked), lines(text)) << text;
        const auto again = readRequestHead(head->checked, m_limits);
        ASSERT_TRUE(std::holds_alternative<request_head>(again)) << text;
        ASSERT_FALSE(head->framing == body_framing::chunked && text.find("Content-Length:") != std::string::npos);
    }
    EXPECT_GT(taken, 1000);
}

} // namespace
} // namespace acaciaslip::protocol
