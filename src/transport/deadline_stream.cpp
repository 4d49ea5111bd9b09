#include "transport/deadline_stream.hpp"

#include "transport/clock.hpp"

#include <algorithm>
#include <cerrno>
#include <limits>

#include <poll.h>
#include <sys/socket.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t receiveBytes = 16384;

} // namespace

bool deadline_stream::waitFor(short events)
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

bool deadline_stream::fill()
{
    m_received.erase(0, m_begin);
    m_begin = 0;
    const auto kept = m_received.size();
    while (waitFor(POLLIN)) {
        m_received.resize(kept + receiveBytes);
        const auto got = recv(m_socket, m_received.data() + kept, receiveBytes, MSG_DONTWAIT);
        m_received.resize(kept + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        if (got >= 0)
            return got > 0;
        if (errno != EAGAIN && errno != EINTR)
            return false;
    }
    return false;
}

bool deadline_stream::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto taken = send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (taken > 0) {
            m_bytesWritten += static_cast<std::uint64_t>(taken);
            bytes.remove_prefix(static_cast<std::size_t>(taken));
        } else if (errno == EAGAIN) {
            if (!waitFor(POLLOUT))
                return false;
        } else if (errno != EINTR) {
            return false;
        }
    }
    return true;
}

} // namespace acaciaslip::transport
