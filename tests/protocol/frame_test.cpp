#include "protocol/frame.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::protocol {
namespace {

class frame_test : public testing::Test {
protected:
    frame_reader m_reader { 10 };
};

TEST_F(frame_test, Frame_ReceivedByteByByte_IsAssembled)
{
    const auto frame = writeFrame("payload");
    for (const char byte : frame.substr(0, frame.size() - 1))
        ASSERT_FALSE(m_reader.append({ &byte, 1 }));
    const auto payload = m_reader.append(frame.substr(frame.size() - 1));
    ASSERT_TRUE(payload && payload->ok());
    EXPECT_EQ(**payload, "payload");
}

TEST_F(frame_test, Frame_EmptyPayload_IsComplete)
{
    const auto payload = m_reader.append(writeFrame(""));
    ASSERT_TRUE(payload && payload->ok());
    EXPECT_EQ(**payload, "");
}

TEST_F(frame_test, Frame_OverLimit_RejectedBeforePayloadIsReceived)
{
    const auto result = m_reader.append(writeFrame("elevenbytes").substr(0, 4));
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status().code(), absl::StatusCode::kResourceExhausted);
}

TEST_F(frame_test, Frame_FollowedByBytes_IsRejected)
{
    const auto result = m_reader.append(writeFrame("a") + "b");
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->ok());
}

} // namespace
} // namespace acaciaslip::protocol
