#include "transport/loop/socket_state.hpp"

#include <cerrno>
#include <optional>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <uv.h>

namespace acaciaslip::transport::loop {

namespace {

/// Returns the state of the connection, such as TCP_CLOSE, or std::nullopt if it is unknown.
std::optional<int> connectionState(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    return info.tcpi_state;
}

} // namespace

bool isSocketClosed(int socket)
{
    return connectionState(socket).value_or(TCP_CLOSE) == TCP_CLOSE;
}

bool isInputPending(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

int findReset(int socket, bool isShutDown)
{
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        return 0;
    if (error == EPIPE)
        return 0; // the peer had shut down its side before the reset
    if (error != 0)
        return uv_translate_sys_error(error);
    // A failed write clears the pending error, but TCP_CLOSE still shows the reset. After a shutdown of this side the
    // state proves nothing: it is also reached when both sides have shut down.
    return !isShutDown && connectionState(socket) == TCP_CLOSE ? UV_ECONNRESET : 0;
}

} // namespace acaciaslip::transport::loop
