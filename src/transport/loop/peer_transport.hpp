#pragma once

#include "coordination/gateway/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "protocol/http/message.hpp"
#include "transport/loop/http_fetcher.hpp"
#include "transport/loop/udp_socket.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace acaciaslip::transport::loop {

/// Path on the operators' port from which other hosts fetch the published fleet.
inline constexpr std::string_view fleetPath = "/fleet";
inline constexpr int statusRedirect = 307; ///< the body is the IP address of the host to fetch from instead

/// Exchange with other entry hosts: heartbeats over UDP, and the published fleet over HTTP.
class peer_transport {
public:
    using event_sink = std::function<void(coordination::gateway::event)>;

    /// \param datagramPort UDP port, the same on all hosts
    /// \param fetchPort operators' port, the same on all hosts
    peer_transport(uv_loop_t* loop, int datagramPort, int fetchPort, event_sink sink);

    /// Binds the UDP socket.
    /// \param ip address of this host
    [[nodiscard]] absl::Status start(const std::string& ip);

    void sendHeartbeat(const coordination::gateway::send_peer_message& wanted);
    void fetch(const coordination::gateway::fetch_fleet& wanted);

    /// Number of datagrams and fetched deltas that could not be decoded.
    [[nodiscard]] std::uint64_t rejected() const noexcept { return m_rejected; }

    void close();

private:
    coordination::gateway::fetch_outcome handleFetchedDelta(const protocol::http::message& answer);

    std::string m_ip; ///< of this host; empty until `start`
    int m_datagramPort;
    int m_fetchPort;
    event_sink m_sink;
    udp_socket m_socket;
    http_fetcher m_fetcher;
    std::uint64_t m_rejected = 0;
};

} // namespace acaciaslip::transport::loop
