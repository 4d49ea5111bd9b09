#include "transport/raw_socket.hpp"

#include <array>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace acaciaslip::transport {

namespace {

constexpr int readTimeout = 10000; ///< milliseconds

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int listenOnFreePort(int& port)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    (void)bind(listener, reinterpret_cast<sockaddr*>(&address), size);
    (void)listen(listener, 128);
    (void)getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return listener;
}

} // namespace

int findFreePort()
{
    int port = 0;
    ::close(listenOnFreePort(port));
    return port;
}

raw_socket raw_socket::connect(int port)
{
    const int made = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    (void)::connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return raw_socket(made);
}

void raw_socket::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto taken = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (taken <= 0)
            return;
        sent += static_cast<std::size_t>(taken);
    }
}

bool raw_socket::readMore()
{
    pollfd polled { m_socket, POLLIN, 0 };
    if (poll(&polled, 1, readTimeout) != 1) {
        m_received += "[nothing came]";
        return false;
    }
    std::array<char, 65536> buffer {};
    const auto got = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (got > 0)
        m_received.append(buffer.data(), static_cast<std::size_t>(got));
    return got > 0;
}

std::string raw_socket::readUntil(const std::string& wanted, int times)
{
    std::size_t at = 0;
    for (; times > 0; --times) {
        auto found = m_received.find(wanted, at);
        while (found == std::string::npos) {
            if (!readMore())
                return std::exchange(m_received, {});
            found = m_received.find(wanted, at);
        }
        at = found + wanted.size();
    }
    auto text = m_received.substr(0, at);
    m_received.erase(0, at);
    return text;
}

std::string raw_socket::readToEnd()
{
    while (readMore())
        continue;
    return std::exchange(m_received, {});
}

std::string raw_socket::readRequest()
{
    auto text = readUntil("\r\n\r\n");
    const auto length = static_cast<std::size_t>(std::atoll(findHeader(text, "Content-Length").c_str()));
    while (m_received.size() < length && readMore())
        continue;
    text += m_received.substr(0, length);
    m_received.erase(0, length);
    return text;
}

void raw_socket::shutdownSending() const
{
    shutdown(m_socket, SHUT_WR);
}

void raw_socket::reset()
{
    const linger discardUnsent { 1, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &discardUnsent, sizeof(discardUnsent));
    close();
}

void raw_socket::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

loop_test_server::loop_test_server(std::function<void(raw_socket&)> serve)
    : m_serve(std::move(serve))
    , m_listener(listenOnFreePort(m_port))
    , m_acceptor([this] { run(); })
{
}

loop_test_server::~loop_test_server()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    for (auto& thread : m_threads)
        thread.join();
}

void loop_test_server::run()
{
    for (;;) {
        const int taken = accept(m_listener, nullptr, nullptr);
        if (taken < 0)
            return;
        ++m_connections;
        m_threads.emplace_back([this, taken] {
            raw_socket connection(taken);
            m_serve(connection);
        });
    }
}

std::string findHeader(const std::string& text, const std::string& name)
{
    const auto at = text.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto start = at + name.size() + 4;
    return text.substr(start, text.find("\r\n", start) - start);
}

} // namespace acaciaslip::transport
