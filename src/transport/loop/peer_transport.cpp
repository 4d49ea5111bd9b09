#include "transport/loop/peer_transport.hpp"

#include "protocol/gateway_peer_codec.hpp"

#include <array>
#include <utility>

#include <fmt/format.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr protocol::http::message_limits fetchLimits { 65536, 33554432 };
constexpr int statusOk = 200;
/// Bytes that must arrive within a fetch's patience. Two transfers at a time on a link of 1 Mbit/s are faster.
constexpr std::uint64_t minFetchBytes = 32768;

/// Parts of a heartbeat that are left out.
struct omission {
    bool delta = false; ///< the receiver fetches it over HTTP
    bool crashes = false; ///< they are sent again with a later heartbeat
    bool limits = false;
    bool peers = false;
};

/// In the order in which they are tried. The ids of servers, in crashes and limits, may be long.
constexpr std::array<omission, 6> omissions { {
    { .crashes = true },
    { .delta = true },
    { .delta = true, .limits = true },
    { .delta = true, .crashes = true },
    { .delta = true, .crashes = true, .limits = true },
    { .delta = true, .crashes = true, .limits = true, .peers = true },
} };

state::gateway::peer_heartbeat leaveOut(const omission& omitted, state::gateway::peer_heartbeat message)
{
    if (omitted.delta)
        message.delta.reset();
    if (omitted.crashes)
        message.crashes.clear();
    if (omitted.limits)
        message.limits.clear();
    if (omitted.peers)
        message.peers.clear();
    return message;
}

/// Encodes a heartbeat. One that is too large for a datagram is sent without some of its parts.
absl::StatusOr<std::string> encodeInDatagram(const state::gateway::peer_heartbeat& message)
{
    auto datagram = protocol::encodeHeartbeat(message);
    for (const auto& omitted : omissions) {
        if (datagram.ok())
            break;
        datagram = protocol::encodeHeartbeat(leaveOut(omitted, message));
    }
    return datagram;
}

} // namespace

peer_transport::peer_transport(uv_loop_t* loop, int datagramPort, int fetchPort, event_sink sink)
    : m_datagramPort(datagramPort)
    , m_fetchPort(fetchPort)
    , m_sink(std::move(sink))
    , m_socket(loop,
          [this](const std::string& from, std::string_view datagram) {
              auto heartbeat = protocol::decodeHeartbeat(datagram);
              if (heartbeat.ok())
                  m_sink(coordination::gateway::heartbeat_received {
                      from.substr(0, from.rfind(':')), *std::move(heartbeat) });
              else
                  ++m_rejected;
          })
    , m_fetcher(loop, fetchLimits)
{
}

absl::Status peer_transport::start(const std::string& ip)
{
    m_ip = ip;
    return m_socket.bind(fmt::format("{}:{}", ip, m_datagramPort));
}

void peer_transport::sendHeartbeat(const coordination::gateway::send_peer_message& wanted)
{
    if (const auto datagram = encodeInDatagram(wanted.message); datagram.ok())
        m_socket.send(fmt::format("{}:{}", wanted.ip, m_datagramPort), *datagram);
}

void peer_transport::fetch(const coordination::gateway::fetch_fleet& wanted)
{
    m_fetcher.close();
    const auto address = fmt::format("{}:{}", wanted.ip, m_fetchPort);
    m_fetcher.fetch(address,
        fmt::format("GET {}?after={}&changes=1&from={} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", fleetPath,
            wanted.after, m_ip, address),
        { wanted.patience / 2, wanted.patience / 2, minFetchBytes }, [this](const fetch_result& fetched) {
            using coordination::gateway::fetch_outcome;
            const auto outcome = fetched.answer ? handleFetchedDelta(*fetched.answer) : fetch_outcome::no_answer;
            m_sink(coordination::gateway::fetch_finished {
                outcome, fetched.receivedBytes, outcome == fetch_outcome::redirected ? fetched.answer->body : "" });
        });
}

coordination::gateway::fetch_outcome peer_transport::handleFetchedDelta(const protocol::http::message& answer)
{
    using coordination::gateway::fetch_outcome;
    if (answer.status == statusRedirect)
        return fetch_outcome::redirected;
    if (answer.status != statusOk)
        return fetch_outcome::refused;
    auto delta = protocol::decodeDelta(answer.body);
    if (!delta.ok()) {
        ++m_rejected;
        return fetch_outcome::unreadable;
    }
    m_sink(
        coordination::gateway::fleet_update_received { *std::move(delta), coordination::gateway::fleet_source::peer });
    return fetch_outcome::received;
}

void peer_transport::close()
{
    m_fetcher.close();
    m_socket.close();
}

} // namespace acaciaslip::transport::loop
