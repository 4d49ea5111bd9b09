#include "protocol/server_reports.hpp"

#include "protocol/peer_codec.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::protocol {
namespace {

/// Reports of a server whose boot id is given by the test.
class server_reports_test : public testing::Test {
protected:
    static std::string readBootId(const std::string& boot)
    {
        const auto load = parseLoad(R"({"boot":")" + boot + R"(","in_flight":1,"queued":0,"slots":4})");
        return load ? load->bootId : "";
    }
};

TEST_F(server_reports_test, BootId_OfUsualLength_IsUnchanged)
{
    EXPECT_EQ(readBootId("s1-17"), "s1-17");
    EXPECT_EQ(readBootId(std::string(128, 'b')), std::string(128, 'b'));
}

/// Guards against one server's boot id that keeps all messages of a node from its peers.
TEST_F(server_reports_test, BootId_Long_FitsInPeerMessages)
{
    for (const std::size_t length : { 129U, 1000U, 60000U }) {
        state::peer_message message;
        message.sender = "entry-a1";
        message.conditions = { { "s1", state::server_condition::cold, 1, readBootId(std::string(length, 'b')) } };
        EXPECT_FALSE(message.conditions[0].bootId.empty());
        EXPECT_TRUE(encodeDatagram(message).ok()) << length;
    }
}

TEST_F(server_reports_test, BootId_LongAndDifferentAtTheEnd_IsDifferent)
{
    const std::string start(1000, 'b');
    EXPECT_EQ(readBootId(start + "1"), readBootId(start + "1"));
    EXPECT_NE(readBootId(start + "1"), readBootId(start + "2"));
}

} // namespace
} // namespace acaciaslip::protocol
