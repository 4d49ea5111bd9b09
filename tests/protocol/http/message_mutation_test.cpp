#include "mutation.hpp"
#include "protocol/http/message_parser.hpp"

#include <array>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace acaciaslip::protocol::http {
namespace {

constexpr message_limits limits { 1024, 4096 };

/// Parses messages that were changed at random, in reads of random sizes; the seed is fixed.
class message_mutation_test : public testing::Test {
protected:
    void mutate(std::string& text)
    {
        static constexpr std::array<std::string_view, 16> fragments { "\r\n", "\n", "\r", ":", " ", "0\r\n\r\n",
            "HTTP/1.1 ", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "ffffffffffffffff", "-1", "\xff",
            "\t", ";", ",", "100" };
        mutateText(text, fragments, m_random);
    }

    /// Parses the text until it ends or cannot be parsed, and returns the bodies of the complete messages.
    std::vector<std::string> parse(message_side side, const std::string& text)
    {
        message_parser parser(side, limits);
        parser.useBudget(m_budget);
        std::vector<std::string> bodies;
        std::string_view rest = text;
        while (!rest.empty()) {
            auto read = rest.substr(0, 1 + m_random(64));
            const auto size = read.size();
            const auto status = parser.consume(read);
            rest.remove_prefix(size - read.size());
            if (status == parse_status::complete)
                bodies.push_back(parser.takeMessage().body);
            else if (status != parse_status::incomplete)
                return bodies;
        }
        if (parser.finish() == parse_status::complete)
            bodies.push_back(parser.takeMessage().body);
        return bodies;
    }

    std::shared_ptr<coordination::memory_budget> m_budget
        = std::make_shared<coordination::memory_budget>(coordination::makeMemoryBudget(0));
    pcg32 m_random { 20'261'204 };
};

TEST_F(message_mutation_test, Messages_Mutated_KeepLimitsAndReleaseMemory)
{
    const std::array<std::string, 3> answers { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nA: b\r\n\r\n",
        "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello" };
    const std::array<std::string, 2> requests {
        "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"
    };
    std::size_t complete = 0;
    for (int round = 0; round < 20000; ++round) {
        const bool isAnswer = m_random(2) == 0;
        auto text = isAnswer ? answers[m_random(answers.size())] : requests[m_random(requests.size())];
        for (std::uint32_t change = 0; change < m_random(4); ++change)
            mutate(text);
        for (const auto& body : parse(isAnswer ? message_side::answers : message_side::requests, text)) {
            ++complete;
            EXPECT_LE(body.size(), limits.bodyBytes) << text;
        }
        ASSERT_EQ(m_budget->heldBytes, 0U) << text;
    }
    EXPECT_GT(complete, 10000U);
}

TEST_F(message_mutation_test, Messages_SplitAtRandom_AreParsedAsWhole)
{
    const std::string answer
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    for (int round = 0; round < 2000; ++round)
        EXPECT_EQ(parse(message_side::answers, answer), std::vector<std::string> { "hello world" });
}

} // namespace
} // namespace acaciaslip::protocol::http
