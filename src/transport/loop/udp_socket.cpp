#include "transport/loop/udp_socket.hpp"

#include "transport/loop/tcp_stream.hpp"

#include <array>
#include <utility>

#include <fmt/format.h>
#include <netinet/in.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr std::size_t receiveBufferBytes = 2048; ///< exceeds the protocol's datagrams; longer ones are truncated

std::array<char, receiveBufferBytes>& sharedDatagramBuffer()
{
    static std::array<char, receiveBufferBytes> buffer;
    return buffer;
}

} // namespace

udp_socket::udp_socket(uv_loop_t* loop, std::function<void(const std::string&, std::string_view)> received)
    : m_handle(new uv_udp_t {})
    , m_received(std::move(received))
{
    uv_udp_init(loop, m_handle);
    m_handle->data = this;
}

udp_socket::~udp_socket()
{
    close();
}

absl::Status udp_socket::bind(const std::string& address)
{
    const auto own = parseAddress(address);
    if (!own.ok())
        return own.status();
    int status = uv_udp_bind(m_handle, reinterpret_cast<const sockaddr*>(&*own), 0);
    if (status == 0)
        status = uv_udp_recv_start(
            m_handle,
            [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
                auto& shared = sharedDatagramBuffer();
                *buffer = uv_buf_init(shared.data(), static_cast<unsigned int>(shared.size()));
            },
            [](uv_udp_t* handle, ssize_t count, const uv_buf_t* buffer, const sockaddr* from, unsigned int) {
                auto* const self = static_cast<udp_socket*>(handle->data);
                if (count <= 0 || from == nullptr || self == nullptr)
                    return;
                self->m_received(formatAddress(*reinterpret_cast<const sockaddr_in*>(from)),
                    { buffer->base, static_cast<std::size_t>(count) });
            });
    if (status != 0)
        return absl::UnavailableError(
            fmt::format("cannot bind UDP {}: {}; check that the address belongs to this host and is not in use",
                address, uv_strerror(status)));
    return absl::OkStatus();
}

void udp_socket::send(const std::string& address, std::string_view datagram)
{
    const auto to = parseAddress(address);
    if (m_handle == nullptr || !to.ok())
        return;
    const auto buffer
        = uv_buf_init(const_cast<char*>(datagram.data()), static_cast<unsigned int>(datagram.size())); // not modified
    (void)uv_udp_try_send(m_handle, &buffer, 1, reinterpret_cast<const sockaddr*>(&*to));
}

void udp_socket::close()
{
    if (m_handle == nullptr)
        return;
    m_handle->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(m_handle, nullptr)),
        [](uv_handle_t* closed) { delete reinterpret_cast<uv_udp_t*>(closed); });
}

} // namespace acaciaslip::transport::loop
