#include "app/command_fixture.hpp"
#include "transport/loop/node_daemon.hpp"

#include <arpa/inet.h>
#include <fstream>
#include <sys/socket.h>
#include <thread>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <unistd.h>

namespace acaciaslip::app {
namespace {

using testing::HasSubstr;

/// A socket bound to a free loopback port for its lifetime.
class bound_port {
public:
    explicit bound_port(int type = SOCK_STREAM)
        : m_socket(socket(AF_INET, type, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        EXPECT_EQ(bind(m_socket, reinterpret_cast<sockaddr*>(&address), size), 0);
        if (type == SOCK_STREAM) {
            EXPECT_EQ(listen(m_socket, 1), 0);
        }
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_address = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
    }
    bound_port(const bound_port&) = delete;
    bound_port& operator=(const bound_port&) = delete;
    ~bound_port() { close(m_socket); }

    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    int m_socket;
    std::string m_address;
};

class serve_test : public testing::Test {
protected:
    serve_test()
    {
        m_settings.id = "entry-a1";
        m_settings.dataCentre = "dc-a";
        m_settings.callerAddress = bound_port().address();
        m_settings.operatorAddress = bound_port().address();
        m_settings.peerAddress = bound_port().address();
        m_settings.platformAddresses = { "127.0.0.1:1" };
        m_settings.lameDuck = std::chrono::milliseconds { 20 };
        m_settings.logLevel = "error";
    }
    ~serve_test() override { std::remove(m_file.c_str()); }

    [[nodiscard]] command_result serve() const
    {
        std::ofstream(m_file) << fmt::format("id: {}\ndata_centre: {}\ncallers: {}\npeers: {}\noperators: {}\n"
                                             "platform: ['{}']\nlame_duck_ms: 20\n",
            m_settings.id, m_settings.dataCentre, m_settings.callerAddress, m_settings.peerAddress,
            m_settings.operatorAddress, m_settings.platformAddresses.front());
        return runCommand({ "serve", "--settings", m_file });
    }

    state::node_settings m_settings;
    const std::string m_file = fmt::format("/tmp/acaciaslip-serve-{}.yaml", getpid());
};

TEST_F(serve_test, Port_AlreadyInUse_FailsWithErrorThatNamesAddress)
{
    const bound_port stream;
    const bound_port datagram(SOCK_DGRAM);
    for (auto* address : { &m_settings.callerAddress, &m_settings.operatorAddress, &m_settings.peerAddress }) {
        const std::string original = *address;
        *address = address == &m_settings.peerAddress ? datagram.address() : stream.address();
        const auto result = serve();
        EXPECT_EQ(result.code, 1);
        EXPECT_THAT(result.errors, HasSubstr(*address));
        *address = original;
    }
}

TEST_F(serve_test, Node_Running_AnswersOperatorCommandsAndStops)
{
    transport::loop::node_daemon daemon(m_settings);
    ASSERT_TRUE(daemon.start().ok());
    std::thread running([&] { daemon.run(); });
    const auto& address = m_settings.operatorAddress;
    EXPECT_THAT(runCommand({ "dump", address }).output, HasSubstr("entry-a1 in dc-a: starting"));
    EXPECT_THAT(runCommand({ "dump", address, "--json" }).output, HasSubstr("\"phase\": \"starting\""));
    const auto status = runCommand({ "status", address });
    EXPECT_EQ(status.code, 0);
    EXPECT_THAT(status.output, HasSubstr("entry-a1 has no settings in force yet"));
    EXPECT_EQ(runCommand({ "status", address, "127.0.0.1:1" }).code, 1);
    EXPECT_EQ(runCommand({ "drain", address }).code, 0);
    running.join();
    EXPECT_EQ(runCommand({ "dump", address }).code, 1);
}

} // namespace
} // namespace acaciaslip::app
