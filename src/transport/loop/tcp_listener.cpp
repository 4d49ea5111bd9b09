#include "transport/loop/tcp_listener.hpp"

#include <utility>

#include <fmt/format.h>
#include <netinet/in.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr int backlog = 1024; ///< pending connections; when the queue is full, a caller's connect is delayed by seconds

} // namespace

tcp_listener::tcp_listener(uv_loop_t* loop, std::function<void(uv_stream_t*)> onConnection)
    : m_handle(new uv_tcp_t {})
    , m_onConnection(std::move(onConnection))
{
    uv_tcp_init(loop, m_handle);
    m_handle->data = this;
}

tcp_listener::~tcp_listener()
{
    close();
}

absl::Status tcp_listener::listen(const std::string& address)
{
    sockaddr_in to {};
    const bool anyPort = address.ends_with(":0");
    const auto parsed = parseAddress(anyPort ? address.substr(0, address.size() - 1) + "1" : address);
    if (!parsed.ok())
        return parsed.status();
    to = *parsed;
    if (anyPort)
        to.sin_port = 0;
    int status = uv_tcp_bind(m_handle, reinterpret_cast<const sockaddr*>(&to), 0);
    if (status == 0)
        status = uv_listen(reinterpret_cast<uv_stream_t*>(m_handle), backlog, [](uv_stream_t* server, int result) {
            auto* const self = static_cast<tcp_listener*>(server->data);
            if (result == 0 && self != nullptr)
                self->m_onConnection(server);
        });
    if (status != 0)
        return absl::UnavailableError(
            fmt::format("cannot listen on {}: {}; check that the address belongs to this host and is not in use",
                address, uv_strerror(status)));
    return absl::OkStatus();
}

int tcp_listener::port() const
{
    sockaddr_in own {};
    int size = sizeof own;
    return uv_tcp_getsockname(m_handle, reinterpret_cast<sockaddr*>(&own), &size) == 0 ? ntohs(own.sin_port) : 0;
}

void tcp_listener::close()
{
    if (m_handle == nullptr)
        return;
    m_handle->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(m_handle, nullptr)),
        [](uv_handle_t* closed) { delete reinterpret_cast<uv_tcp_t*>(closed); });
}

} // namespace acaciaslip::transport::loop
