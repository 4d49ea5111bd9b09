#include "transport/loop/value_exchange.hpp"

#include "protocol/frame.hpp"
#include "protocol/peer_codec.hpp"
#include "transport/loop/timer.hpp"

#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr std::size_t maxServed = 64; ///< connections at a time; more than the nodes that read a change from one node
constexpr state::duration serveTimeout
    = std::chrono::seconds { 2 }; ///< for a whole exchange, including a slow transfer
constexpr state::duration fetchTimeout = std::chrono::milliseconds { 2500 }; ///< including the connect

} // namespace

/// A request and its response between this node and another one, in either direction.
struct value_exchange::peer_connection {
    std::shared_ptr<tcp_stream> stream;
    protocol::frame_reader frames;
    std::unique_ptr<timer> timeout;
    std::optional<coordination::fetch_value> wanted; ///< set for a fetch; empty if the other node sends the request
    callback done;
    state::value_key key; ///< requested by the other node
    std::string unsentRequest; ///< request of a fetch, until the connection is established
};

value_exchange::value_exchange(uv_loop_t* loop, event_sink events)
    : m_loop(loop)
    , m_events(std::move(events))
    , m_listener(loop, [this](uv_stream_t* listener) { accept(listener); })
{
}

value_exchange::~value_exchange()
{
    close();
}

std::shared_ptr<value_exchange::peer_connection> value_exchange::addConnection(
    std::uint64_t token, std::size_t frameLimit)
{
    auto made = std::make_shared<peer_connection>(
        peer_connection { nullptr, protocol::frame_reader(frameLimit), nullptr, {}, {}, {}, {} });
    made->timeout = std::make_unique<timer>(m_loop, [this, token] { end(token); });
    m_connections[token] = made;
    return made;
}

void value_exchange::accept(uv_stream_t* listener)
{
    const auto token = m_nextToken++;
    const auto made = addConnection(token, protocol::maxRequestFrameBytes);
    ++m_openServed;
    stream_callbacks callbacks;
    callbacks.received = [this, token](std::string_view bytes) { handleReceived(token, bytes); };
    callbacks.endOfStream = [] {}; // the other node may shut down its sending side after its request
    callbacks.failed = [this, token](int) { end(token); };
    made->stream = tcp_stream::accept(listener, std::move(callbacks));
    if (!made->stream || m_openServed > maxServed)
        return end(token);
    made->timeout->start(serveTimeout);
    made->stream->startReading();
}

void value_exchange::handleReceived(std::uint64_t token, std::string_view bytes)
{
    const auto found = m_connections.find(token);
    if (found == m_connections.end())
        return;
    const auto connection = found->second;
    const auto frame = connection->frames.append(bytes);
    if (!frame)
        return;
    if (!frame->ok())
        return end(token);
    if (connection->wanted)
        finishFetch(token, **frame);
    else
        answerRequest(token, **frame);
}

void value_exchange::answerRequest(std::uint64_t token, const std::string& frame)
{
    auto request = protocol::decodeValueRequest(frame);
    if (!request.ok())
        return end(token);
    m_connections[token]->stream->stopReading();
    m_connections[token]->key = request->key;
    m_events(coordination::value_requested { token, std::move(request->key), request->after });
}

void value_exchange::reply(const coordination::reply_with_value& served)
{
    const auto found = m_connections.find(served.replyToken);
    if (found == m_connections.end())
        return;
    const auto answer = protocol::encodeValueAnswer({ found->second->key, served.number, served.body });
    if (!answer.ok())
        return end(served.replyToken);
    found->second->stream->write(protocol::writeFrame(*answer));
    found->second->stream->shutdownAndClose([this, token = served.replyToken] { end(token); });
}

void value_exchange::fetch(const coordination::fetch_value& wanted, callback done)
{
    const auto to = parseAddress(wanted.address);
    const auto request = protocol::encodeValueRequest({ wanted.key, wanted.after });
    if (!to.ok() || !request.ok())
        return done(std::nullopt);
    const auto token = m_nextToken++;
    const auto made = addConnection(token, protocol::maxValueFrameBytes);
    made->wanted = wanted;
    made->done = std::move(done);
    made->unsentRequest = protocol::writeFrame(*request);
    stream_callbacks callbacks;
    callbacks.connected = [weak = std::weak_ptr(made)] {
        if (const auto connection = weak.lock()) {
            connection->stream->startReading();
            connection->stream->write(std::move(connection->unsentRequest));
        }
    };
    callbacks.received = [this, token](std::string_view bytes) { handleReceived(token, bytes); };
    callbacks.endOfStream = [this, token] { end(token); };
    callbacks.failed = [this, token](int) { end(token); };
    made->timeout->start(fetchTimeout);
    made->stream = tcp_stream::connect(m_loop, *to, std::move(callbacks));
}

void value_exchange::finishFetch(std::uint64_t token, const std::optional<std::string>& frame)
{
    const auto connection = m_connections[token];
    const auto& wanted = *connection->wanted;
    std::optional<coordination::value_received> received;
    auto answer = frame ? protocol::decodeValueAnswer(*frame) : absl::UnavailableError("no response received");
    if (answer.ok() && answer->key == wanted.key)
        received = coordination::value_received { wanted.key, answer->revision, std::move(answer->body), wanted.source,
            wanted.address, wanted.requestedAt };
    m_connections.erase(token);
    connection->stream->close();
    connection->done(std::move(received));
}

/// Ends an exchange. A fetch without a response so far fails.
void value_exchange::end(std::uint64_t token)
{
    const auto found = m_connections.find(token);
    if (found == m_connections.end())
        return;
    if (found->second->wanted)
        return finishFetch(token, std::nullopt);
    const auto connection = std::move(found->second);
    m_connections.erase(found);
    --m_openServed;
    if (connection->stream)
        connection->stream->close();
}

void value_exchange::close()
{
    m_listener.close();
    for (const auto& [token, connection] : std::exchange(m_connections, {})) {
        connection->timeout->stop();
        if (connection->stream)
            connection->stream->close();
    }
    m_openServed = 0;
}

} // namespace acaciaslip::transport::loop
