#include "transport/value_reader.hpp"

#include "protocol/peer_codec.hpp"
#include "transport/address.hpp"
#include "transport/clock.hpp"
#include "transport/frame.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <httplib.h>
#include <thrift/transport/TSocket.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t threads = 16;
constexpr std::size_t ringCapacity = 256;
constexpr std::chrono::milliseconds connectTimeout { 500 };
constexpr std::chrono::milliseconds answerMargin { 1000 };
constexpr std::chrono::milliseconds peerTimeout { 2000 }; ///< for a peer's whole answer
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;

coordination::value_received makeAnswer(const coordination::fetch_value& wanted)
{
    return { wanted.key, 0, {}, wanted.source, wanted.address, wanted.askedAt };
}

coordination::value_read_failed makeFailure(const coordination::fetch_value& wanted)
{
    return { wanted.key, wanted.source, wanted.address, wanted.askedAt };
}

} // namespace

value_reader::value_reader(decision_thread& decisions, std::function<void(const coordination::value_received&)> prepare)
    : m_decisions(decisions)
    , m_prepare(std::move(prepare))
    , m_workers(
          "read_values", threads, ringCapacity, [this](const coordination::fetch_value& wanted) { carryOut(wanted); })
{
}

void value_reader::read(coordination::fetch_value wanted)
{
    auto failed = makeFailure(wanted);
    if (!m_workers.tryPush(std::move(wanted)))
        (void)m_decisions.tryPost(std::move(failed));
}

void value_reader::stop()
{
    m_workers.stop();
}

void value_reader::carryOut(const coordination::fetch_value& wanted)
{
    const auto target = parseAddress(wanted.address);
    std::optional<coordination::value_received> received;
    if (target.ok() && wanted.source == state::value_source::platform)
        received = readPlatform(wanted, *target);
    else if (target.ok())
        received = readPeer(wanted, *target);
    if (received && m_prepare)
        m_prepare(*received);
    if (received)
        m_decisions.post(*std::move(received));
    else
        m_decisions.post(makeFailure(wanted));
}

std::optional<coordination::value_received> value_reader::readPlatform(
    const coordination::fetch_value& wanted, const address& target) const
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(wanted.wait);
    httplib::Client client(target.ip, target.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(wait + answerMargin);
    const auto answer
        = client.Get(fmt::format("/v1/values/{}?after={}&wait_ms={}", wanted.key, wanted.after, wait.count()));
    if (!answer)
        return std::nullopt;
    auto received = makeAnswer(wanted);
    if (answer->status == statusOk && absl::SimpleAtoi(answer->get_header_value("Revision"), &received.number))
        received.body = answer->body;
    else if (answer->status != statusNotModified && answer->status != statusNotFound)
        return std::nullopt;
    return received;
}

std::optional<coordination::value_received> value_reader::readPeer(
    const coordination::fetch_value& wanted, const address& target) const
{
    const auto request = protocol::encodeValueRequest({ wanted.key, wanted.after });
    if (!request.ok())
        return std::nullopt;
    apache::thrift::transport::TSocket connection(target.ip, target.port);
    connection.setConnTimeout(static_cast<int>(connectTimeout.count()));
    connection.setRecvTimeout(static_cast<int>(answerMargin.count()));
    connection.setSendTimeout(static_cast<int>(answerMargin.count()));
    try {
        connection.open();
    } catch (const apache::thrift::TException&) {
        return std::nullopt;
    }
    if (!writeFrame(connection, *request).ok())
        return std::nullopt;
    const auto frame = readFrame(connection, protocol::maxAnswerFrameBytes, monotonicNow() + peerTimeout);
    if (!frame.ok())
        return std::nullopt;
    auto answer = protocol::decodeValueAnswer(*frame);
    if (!answer.ok() || answer->key != wanted.key)
        return std::nullopt;
    auto received = makeAnswer(wanted);
    received.number = answer->number;
    received.body = std::move(answer->body);
    return received;
}

} // namespace acaciaslip::transport
