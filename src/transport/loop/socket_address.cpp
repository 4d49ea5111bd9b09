#include "transport/loop/socket_address.hpp"

#include <array>
#include <cstdlib>

#include <fmt/format.h>
#include <uv.h>

namespace acaciaslip::transport::loop {

absl::StatusOr<sockaddr_in> parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address {};
    if (colon == std::string::npos)
        return absl::InvalidArgumentError(fmt::format("'{}' is not an address; write IP:PORT", text));
    const auto port = std::atoi(text.c_str() + colon + 1); // NOLINT(cert-err34-c): 0 is rejected below
    constexpr int maxPort = 65535;
    if (port <= 0 || port > maxPort || uv_ip4_addr(text.substr(0, colon).c_str(), port, &address) != 0)
        return absl::InvalidArgumentError(fmt::format("'{}' is not an address; write IP:PORT", text));
    return address;
}

std::string formatAddress(const sockaddr_in& address)
{
    std::array<char, INET_ADDRSTRLEN> ip {};
    uv_ip4_name(&address, ip.data(), ip.size());
    return fmt::format("{}:{}", ip.data(), ntohs(address.sin_port));
}

} // namespace acaciaslip::transport::loop
