#include "protocol/frame.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::protocol {
namespace {

class frame_test : public testing::Test {
protected:
    frame_reader m_reader { 10 };
};

TEST_F(frame_test, Frame_ByteByByte_IsPutTogether)
{
    const auto frame = writeFrame("payload");
    for (const char byte : frame.substr(0, frame.size() - 1))
        ASSERT_FALSE(m_reader.take({ &byte, 1 }));
    const auto whole = m_reader.take(frame.substr(frame.size() - 1));
    ASSERT_TRUE(whole && whole->ok());
    EXPECT_EQ(**whole, "payload");
}

TEST_F(frame_test, Frame_Empty_IsWhole)
{
    const auto whole = m_reader.take(writeFrame(""));
    ASSERT_TRUE(whole && whole->ok());
    EXPECT_EQ(**whole, "");
}

TEST_F(frame_test, Frame_OverLimit_IsRefusedBeforeItIsRead)
{
    const auto refused = m_reader.take(writeFrame("elevenbytes").substr(0, 4));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status().code(), absl::StatusCode::kResourceExhausted);
}

TEST_F(frame_test, Bytes_BehindAFrame_AreRefused)
{
    const auto refused = m_reader.take(writeFrame("a") + "b");
    ASSERT_TRUE(refused);
    EXPECT_FALSE(refused->ok());
}

} // namespace
} // namespace acaciaslip::protocol
