#include "transport/loop/peer_transport.hpp"

#include "protocol/gateway_peer_codec.hpp"

#include <utility>

#include <fmt/format.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr protocol::http::message_limits fetchLimits { 65536, 33554432 };
constexpr int statusOk = 200;
/// Bytes that must arrive within a fetch's patience. Two transfers at a time on a link of 1 Mbit/s are faster.
constexpr std::uint64_t minFetchBytes = 32768;

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
    auto message = wanted.message;
    auto datagram = protocol::encodeHeartbeat(message);
    if (!datagram.ok() && message.delta && !message.crashes.empty()) {
        message.crashes.clear(); // they are sent again with a later heartbeat
        datagram = protocol::encodeHeartbeat(message);
    }
    if (!datagram.ok() && message.delta) {
        message.delta.reset(); // too large for a datagram: the peer fetches it over HTTP
        datagram = protocol::encodeHeartbeat(message);
    }
    if (!datagram.ok() && !message.limits.empty()) {
        message.limits.clear(); // server ids may be long
        message.crashes.clear();
        datagram = protocol::encodeHeartbeat(message);
    }
    if (!datagram.ok()) {
        message.peers.clear();
        datagram = protocol::encodeHeartbeat(message);
    }
    if (datagram.ok())
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
