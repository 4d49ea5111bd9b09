#include "transport/deadline_stream.hpp"

#include "transport/clock.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

namespace acaciaslip::transport {

namespace {

using name_reader = int (*)(int, sockaddr*, socklen_t*);

void readAddress(name_reader readName, socket_t socket, std::string& ip, int& port)
{
    sockaddr_in found {};
    socklen_t size = sizeof(found);
    if (readName(socket, reinterpret_cast<sockaddr*>(&found), &size) != 0 || found.sin_family != AF_INET)
        return;
    std::array<char, INET_ADDRSTRLEN> text {};
    if (inet_ntop(AF_INET, &found.sin_addr, text.data(), text.size()) != nullptr)
        ip = text.data();
    port = ntohs(found.sin_port);
}

} // namespace

bool deadline_stream::waitFor(short events) const
{
    for (;;) {
        int timeout = -1;
        if (m_deadline != state::time_point::max()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_deadline - monotonicNow()).count();
            timeout = static_cast<int>(std::clamp<std::int64_t>(left, 0, std::numeric_limits<int>::max()));
        }
        pollfd waited { m_socket, events, 0 };
        const int ready = poll(&waited, 1, timeout);
        if (ready > 0)
            return true;
        if (ready == 0) {
            m_timedOut = true;
            return false;
        }
        if (errno != EINTR)
            return false;
    }
}

bool deadline_stream::is_readable() const
{
    return hasUnread() || waitFor(POLLIN);
}

bool deadline_stream::is_writable() const
{
    return waitFor(POLLOUT);
}

ssize_t deadline_stream::read(char* to, size_t size)
{
    if (!hasUnread()) {
        if (!waitFor(POLLIN))
            return -1;
        const auto got = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        if (got <= 0)
            return got;
        m_begin = 0;
        m_end = static_cast<std::size_t>(got);
    }
    const auto given = std::min(size, m_end - m_begin);
    std::memcpy(to, m_buffer.data() + m_begin, given);
    m_begin += given;
    return static_cast<ssize_t>(given);
}

ssize_t deadline_stream::write(const char* from, size_t size)
{
    if (!waitFor(POLLOUT))
        return -1;
    const auto taken = send(m_socket, from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (taken < 0 && (errno == EAGAIN || errno == EINTR))
        return write(from, size);
    if (taken > 0)
        m_bytesWritten += static_cast<std::uint64_t>(taken);
    return taken;
}

void deadline_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    readAddress(getpeername, m_socket, ip, port);
}

void deadline_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    readAddress(getsockname, m_socket, ip, port);
}

} // namespace acaciaslip::transport
