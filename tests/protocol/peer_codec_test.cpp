#include "protocol/peer_codec.hpp"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace acaciaslip::protocol {
namespace {

class peer_codec_test : public testing::Test {
protected:
    std::string makeName(std::size_t maxLength)
    {
        return std::string(1 + m_random(static_cast<std::uint32_t>(maxLength)), 'n');
    }

    std::uint64_t makeNumber() { return m_random() >> m_random(32); }

    state::peer_message makeMessage()
    {
        state::peer_message message;
        message.sender = makeName(20);
        message.incarnation = (makeNumber() << 20U) | makeNumber();
        message.sequence = makeNumber();
        message.leaving = m_random(2) == 1;
        message.queryId = m_random(2) * makeNumber();
        message.queryReplyTo = m_random(2) * makeNumber();
        for (auto left = m_random(40); left > 0; --left)
            message.loads.push_back({ m_random(), m_random() >> (1 + m_random(31)) });
        for (auto left = m_random(4); left > 0; --left)
            message.conditions.push_back({ makeName(40), static_cast<state::server_condition>(m_random(3)),
                m_random(200), std::string(m_random(20), 'b') });
        for (auto left = m_random(6); left > 0; --left)
            message.revisions.push_back({ makeName(40), makeNumber() });
        for (auto left = m_random(3); left > 0; --left)
            message.introduced.push_back({ makeName(20), makeName(21), makeName(10) });
        return message;
    }

    pcg32 m_random { 17 };
};

TEST_F(peer_codec_test, Datagram_EncodedAndDecoded_IsEqual)
{
    for (int round = 0; round < 2000; ++round) {
        const auto message = makeMessage();
        const auto bytes = encodeDatagram(message);
        ASSERT_TRUE(bytes.ok()) << bytes.status();
        const auto decoded = decodeDatagram(*bytes);
        ASSERT_TRUE(decoded.ok()) << decoded.status();
        EXPECT_EQ(*decoded, message);
    }
}

TEST_F(peer_codec_test, SizeBound_RandomMessages_AtLeastEncodedSizeAndClose)
{
    for (int round = 0; round < 2000; ++round) {
        const auto message = makeMessage();
        const auto bytes = encodeDatagram(message);
        ASSERT_TRUE(bytes.ok());
        const auto bound = coordination::boundMessageSize(message);
        EXPECT_GE(bound, bytes->size());
        EXPECT_LE(bound, bytes->size() + 40);
    }
}

TEST_F(peer_codec_test, Datagram_TooLarge_EncodingFails)
{
    auto message = makeMessage();
    message.conditions.assign(60, { std::string(40, 's'), state::server_condition::cold, 1, {} });
    EXPECT_EQ(encodeDatagram(message).status().code(), absl::StatusCode::kResourceExhausted);
    message.conditions.clear();
    message.loads.assign(coordination::maxListEntries + 1, { 1, 1 });
    EXPECT_FALSE(encodeDatagram(message).ok());
    message.loads.clear();
    message.sender.assign(coordination::maxNameBytes + 1, 'x');
    EXPECT_FALSE(encodeDatagram(message).ok());
}

TEST_F(peer_codec_test, Datagram_UnknownVersion_DecodingFails)
{
    auto bytes = *encodeDatagram(makeMessage());
    for (int version = 0; version < 256; ++version) {
        bytes[0] = static_cast<char>(version);
        EXPECT_EQ(decodeDatagram(bytes).ok(), bytes[0] == peerProtocolVersion);
    }
}

TEST_F(peer_codec_test, Datagram_TruncatedAtAnyByte_DecodingFails)
{
    for (int round = 0; round < 20; ++round) {
        const auto bytes = *encodeDatagram(makeMessage());
        for (std::size_t size = 0; size < bytes.size(); ++size)
            EXPECT_FALSE(decodeDatagram(bytes.substr(0, size)).ok()) << size;
    }
}

TEST_F(peer_codec_test, Datagram_WithTrailingBytesOrOversized_DecodingFails)
{
    const auto bytes = *encodeDatagram(makeMessage());
    EXPECT_FALSE(decodeDatagram(bytes + '\0').ok());
    EXPECT_FALSE(decodeDatagram(bytes + bytes).ok());
    EXPECT_FALSE(decodeDatagram(std::string(coordination::maxDatagramBytes + 1, peerProtocolVersion)).ok());
}

TEST_F(peer_codec_test, List_DeclaredSizeExceedsBytes_RejectedWithoutAllocation)
{
    // The version, then field 9 as a list of structs with a declared size of 2^31 - 1 entries.
    const std::string bytes { peerProtocolVersion, '\x99', '\xfc', '\xff', '\xff', '\xff', '\xff', '\x07' };
    EXPECT_FALSE(decodeDatagram(bytes).ok());
}

TEST_F(peer_codec_test, Decoders_RandomAndMutatedBytes_NoCrashAndLimitsHold)
{
    for (int round = 0; round < 50000; ++round) {
        std::string bytes;
        if (round % 2 == 0) {
            bytes.resize(m_random(200));
            for (auto& byte : bytes)
                byte = static_cast<char>(m_random());
            if (!bytes.empty())
                bytes[0] = peerProtocolVersion;
        } else {
            bytes = *encodeDatagram(makeMessage());
            for (auto flips = 1 + m_random(4); flips > 0; --flips)
                bytes[m_random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(m_random());
        }
        (void)decodeValueRequest(bytes);
        (void)decodeValueAnswer(bytes);
        const auto decoded = decodeDatagram(bytes);
        if (!decoded.ok())
            continue;
        EXPECT_LE(decoded->loads.size(), coordination::maxListEntries);
        EXPECT_LE(decoded->sender.size(), coordination::maxNameBytes);
        for (const auto& change : decoded->conditions)
            EXPECT_LE(static_cast<int>(change.condition), 2);
    }
}

TEST_F(peer_codec_test, Value_UpToSizeLimit_EncodedAndDecodedUnchanged)
{
    const value_answer answer { "acaciaslip/teams/kierdicht", 7, std::string(maxValueBytes, '\xff') };
    const auto bytes = encodeValueAnswer(answer);
    ASSERT_TRUE(bytes.ok()) << bytes.status();
    EXPECT_EQ(*decodeValueAnswer(*bytes), answer);
    EXPECT_FALSE(decodeValueAnswer(bytes->substr(0, bytes->size() - 1)).ok());
    EXPECT_FALSE(encodeValueAnswer({ "key", 1, std::string(maxValueBytes + 1, 'x') }).ok());
    const value_request request { "acaciaslip/index", 12 };
    EXPECT_EQ(*decodeValueRequest(*encodeValueRequest(request)), request);
}

} // namespace
} // namespace acaciaslip::protocol
