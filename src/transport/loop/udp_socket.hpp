#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <uv.h>

namespace acaciaslip::transport::loop {

/// A UDP socket on an event loop.
class udp_socket {
public:
    /// \param received called with the sender's "ip:port" and the datagram's bytes
    udp_socket(uv_loop_t* loop, std::function<void(const std::string&, std::string_view)> received);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// \param address "ip:port"
    /// \return an error if the address is malformed or cannot be bound
    [[nodiscard]] absl::Status bind(const std::string& address);

    /// Sends a datagram. Drops it if the send buffer is full or the address is malformed, since UDP gives no delivery
    /// guarantee in any case.
    void send(const std::string& address, std::string_view datagram);

    void close();

private:
    uv_udp_t* m_handle;
    std::function<void(const std::string&, std::string_view)> m_received;
};

} // namespace acaciaslip::transport::loop
