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

/// Path on the operators' port where hosts fetch the published fleet from each other.
inline constexpr std::string_view fleetPath = "/fleet";

/// The side towards other entry hosts: heartbeats as datagrams, and the published fleet over TCP.
class peer_edge {
public:
    using event_sink = std::function<void(coordination::gateway::event)>;

    /// \param datagramPort of every host
    /// \param fetchPort of every host: the operators' port
    peer_edge(uv_loop_t* loop, int datagramPort, int fetchPort, event_sink sink);

    /// \param ip this host's own
    [[nodiscard]] absl::Status start(const std::string& ip);

    void tell(const coordination::gateway::tell_peer& wanted);
    void fetch(const coordination::gateway::fetch_fleet& wanted);

    [[nodiscard]] std::uint64_t refused() const noexcept { return m_refused; } ///< datagrams that are no heartbeat

    void close();

private:
    void takeFetched(const protocol::http::message& answer);

    int m_datagramPort;
    int m_fetchPort;
    event_sink m_sink;
    udp_socket m_socket;
    http_fetcher m_fetcher;
    std::uint64_t m_refused = 0;
};

} // namespace acaciaslip::transport::loop
