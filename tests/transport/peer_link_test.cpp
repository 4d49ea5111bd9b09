#include "transport/peer_link.hpp"

#include "protocol/peer_codec.hpp"
#include "transport/value_reader.hpp"

#include <atomic>
#include <future>
#include <optional>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <pcg_random.hpp>
#include <sys/socket.h>
#include <thrift/transport/TSocket.h>
#include <unistd.h>

namespace acaciaslip::transport {
namespace {

using namespace std::chrono_literals;

constexpr int firstPort = 23400;
constexpr auto patience = 10s;

/// One node with its decision thread and its link; only peers and reads are carried out.
struct linked_node {
    linked_node(const std::string& id, int port, coordination::node made)
        : settings({ id, "dc-a", "", "127.0.0.1:" + std::to_string(port), "", {}, {} })
        , decisions(std::move(made), 1, [this](coordination::effect&& wanted) { carryOut(std::move(wanted)); })
        , link(decisions, settings)
    {
        started = link.start();
        decisions.start();
    }

    ~linked_node()
    {
        link.stop();
        decisions.stop();
    }

    void carryOut(coordination::effect&& wanted)
    {
        if (auto* served = std::get_if<coordination::serve_value>(&wanted))
            link.serve(std::move(*served));
    }

    template <typename Read> auto inspect(Read read)
    {
        std::promise<decltype(read(std::declval<const coordination::node&>()))> result;
        decisions.inspect(
            [&](const coordination::node& self, state::time_point /*now*/) { result.set_value(read(self)); });
        return result.get_future().get();
    }

    template <typename Holds> bool waitUntil(Holds holds)
    {
        const auto until = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < until) {
            if (inspect(holds))
                return true;
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    state::node_settings settings;
    decision_thread decisions;
    peer_link link;
    absl::Status started;
};

class peer_link_test : public testing::Test {
protected:
    static coordination::node makeNode(const std::string& id)
    {
        state::node_settings settings;
        settings.id = id;
        settings.dataCentre = "dc-a";
        return coordination::makeNode(settings, 1,
            [](const auto& /*bodies*/) -> absl::StatusOr<state::fleet_settings> { return state::fleet_settings {}; });
    }

    static std::string addressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

    static void sendRaw(int port, const std::string& bytes)
    {
        const int raw = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
        sendto(raw, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
        close(raw);
    }

    static coordination::node makeNodeWithValue(const std::string& body)
    {
        auto made = makeNode("b");
        made.values["acaciaslip/index"].inForce = { 7, body, state::value_source::platform, {} };
        return made;
    }

    /// Reads the index from a port the way a node does.
    static std::string readIndex(int port, state::revision after)
    {
        linked_node reading("a", firstPort + 8, makeNode("a"));
        value_reader reader(reading.decisions);
        reader.read({ "acaciaslip/index", after, state::value_source::peer, addressOf(port), {}, {} });
        const bool came = reading.waitUntil([](const coordination::node& self) {
            const auto found = self.values.find("acaciaslip/index");
            return found != self.values.end() && found->second.inForce.number == 7;
        });
        reader.stop();
        return came ? reading.inspect(
                   [](const coordination::node& self) { return self.values.at("acaciaslip/index").inForce.body; })
                    : std::string("none");
    }
};

TEST_F(peer_link_test, Datagram_FromListedPeer_IsTakenWithItsAddress)
{
    auto hearing = makeNode("a");
    auto& peer = hearing.peers["b"];
    peer.id = "b";
    peer.address = addressOf(firstPort + 1);
    peer.listed = true;
    linked_node a("a", firstPort, std::move(hearing));
    linked_node b("b", firstPort + 1, makeNode("b"));
    ASSERT_TRUE(a.started.ok()) << a.started;
    ASSERT_TRUE(b.started.ok()) << b.started;
    state::peer_message message;
    message.from = "b";
    message.incarnation = 1;
    message.sequence = 1;
    b.link.tell({ addressOf(firstPort), message });
    EXPECT_TRUE(a.waitUntil([](const coordination::node& self) { return self.counters.peerMessagesTaken > 0; }));
}

TEST_F(peer_link_test, RandomDatagrams_AnySize_AreDroppedAndCounted)
{
    linked_node a("a", firstPort + 2, makeNode("a"));
    ASSERT_TRUE(a.started.ok()) << a.started;
    pcg32 random(5);
    for (int round = 0; round < 50; ++round) {
        std::string bytes(random(3000), '\0');
        for (auto& letter : bytes)
            letter = static_cast<char>(random());
        sendRaw(firstPort + 2, bytes);
    }
    EXPECT_TRUE(a.waitUntil([](const coordination::node& self) { return self.counters.peerMessagesDropped >= 25; }));
    EXPECT_EQ(a.inspect([](const coordination::node& self) { return self.counters.peerMessagesTaken; }), 0U);
}

TEST_F(peer_link_test, Value_OfOneMegabyte_ComesWholeOverTcp)
{
    std::string body(protocol::maxValueBytes, '\0');
    pcg32 random(6);
    for (auto& letter : body)
        letter = static_cast<char>(random());
    linked_node b("b", firstPort + 3, makeNodeWithValue(body));
    ASSERT_TRUE(b.started.ok()) << b.started;
    EXPECT_EQ(readIndex(firstPort + 3, 0), body);
}

TEST_F(peer_link_test, Value_WhileOthersSendHalfRequestsAndRandomBytes_IsStillServed)
{
    linked_node b("b", firstPort + 4, makeNodeWithValue("values: {}"));
    ASSERT_TRUE(b.started.ok()) << b.started;
    std::vector<std::unique_ptr<apache::thrift::transport::TSocket>> others;
    for (const auto& bytes : { std::string("\0\0", 2), std::string("\0\0\0\x20half", 8),
             std::string("\xff\xff\xff\xff"), std::string("\0\0\0\x04rand", 8), std::string() }) {
        others.push_back(std::make_unique<apache::thrift::transport::TSocket>("127.0.0.1", firstPort + 4));
        others.back()->open();
        others.back()->write(
            reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
    }
    // All threads that serve may be held for a while by those who send nothing; none of them for long.
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(readIndex(firstPort + 4, 0), "values: {}");
}

TEST_F(peer_link_test, PeersAddress_InUse_IsSaidAtStart)
{
    linked_node a("a", firstPort + 5, makeNode("a"));
    linked_node again("a", firstPort + 5, makeNode("a"));
    EXPECT_TRUE(a.started.ok());
    EXPECT_EQ(again.started.code(), absl::StatusCode::kUnavailable);
}

} // namespace
} // namespace acaciaslip::transport
