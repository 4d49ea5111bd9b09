#include "transport/peer_link.hpp"

#include "protocol/peer_codec.hpp"
#include "transport/address.hpp"

#include <array>
#include <cstring>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t sendRingCapacity = 1024;
constexpr timeval receiveTimeout { 0, 100'000 }; ///< how soon the receiver notices that it must end

std::optional<sockaddr_in> makeSocketAddress(const std::string& ip, int port)
{
    sockaddr_in made {};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &made.sin_addr) != 1)
        return std::nullopt;
    return made;
}

std::string describe(const sockaddr_in& from)
{
    std::array<char, INET_ADDRSTRLEN> ip {};
    inet_ntop(AF_INET, &from.sin_addr, ip.data(), ip.size());
    return fmt::format("{}:{}", ip.data(), ntohs(from.sin_port));
}

} // namespace

peer_link::peer_link(decision_thread& decisions, const state::node_settings& settings)
    : m_decisions(decisions)
    , m_address(settings.peers)
    , m_values(decisions)
    , m_sender("tell_peers", 1, sendRingCapacity, [this](const coordination::tell_peer& wanted) { send(wanted); })
{
}

peer_link::~peer_link()
{
    stop();
    if (m_socket >= 0)
        close(m_socket);
}

absl::Status peer_link::start()
{
    // The library's own lines would break the rule of one key=value line an event.
    apache::thrift::GlobalOutput.setOutputFunction([](const char* /*line*/) {});
    const auto parsed = parseAddress(m_address);
    if (!parsed.ok())
        return parsed.status();
    if (auto status = bindSocket(parsed->ip, parsed->port); !status.ok())
        return status;
    if (auto status = m_values.start(*parsed); !status.ok())
        return status;
    m_receiver = std::jthread([this](const std::stop_token& stopping) { receive(stopping); });
    pthread_setname_np(m_receiver.native_handle(), "hear_peers");
    return absl::OkStatus();
}

absl::Status peer_link::bindSocket(const std::string& ip, int port)
{
    const auto own = makeSocketAddress(ip, port);
    if (!own)
        return absl::InvalidArgumentError(fmt::format("peers: '{}' is not an IP number", ip));
    m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (m_socket < 0 || bind(m_socket, reinterpret_cast<const sockaddr*>(&*own), sizeof(*own)) != 0)
        return absl::UnavailableError(
            fmt::format("cannot bind the peers' address {}:{} (UDP): {}", ip, port, std::strerror(errno)));
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
    return absl::OkStatus();
}

void peer_link::tell(coordination::tell_peer wanted)
{
    (void)m_sender.tryPush(std::move(wanted));
}

void peer_link::stop()
{
    m_receiver.request_stop();
    if (m_receiver.joinable())
        m_receiver.join();
    m_sender.stop();
    m_values.stop();
}

void peer_link::receive(const std::stop_token& stopping)
{
    // One byte more than is allowed, so that an oversized datagram shows.
    std::array<char, coordination::maxDatagramBytes + 1> buffer {};
    while (!stopping.stop_requested()) {
        sockaddr_in from {};
        socklen_t fromSize = sizeof(from);
        const auto size
            = recvfrom(m_socket, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &fromSize);
        if (size >= 0)
            take({ buffer.data(), static_cast<std::size_t>(size) }, describe(from));
    }
}

void peer_link::take(std::string_view bytes, const std::string& fromAddress)
{
    auto message = protocol::decodeDatagram(bytes);
    // A full ring drops the datagram: the next one tells the same.
    if (message.ok())
        (void)m_decisions.tryPost(coordination::peer_message_received { fromAddress, *std::move(message) });
    else
        (void)m_decisions.tryPost(coordination::datagram_refused { static_cast<std::uint32_t>(bytes.size()) });
}

void peer_link::send(const coordination::tell_peer& wanted) const
{
    const auto parsed = parseAddress(wanted.address);
    const auto bytes = protocol::encodeDatagram(wanted.message);
    if (!parsed.ok() || !bytes.ok() || m_socket < 0)
        return;
    const auto target = makeSocketAddress(parsed->ip, parsed->port);
    // Lost datagrams are made good by later ones, so a failed send needs no more.
    if (target)
        (void)sendto(m_socket, bytes->data(), bytes->size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&*target),
            sizeof(*target));
}

} // namespace acaciaslip::transport
