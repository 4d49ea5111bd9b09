#include "transport/loop/http_connection.hpp"

#include <charconv>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr int firstFinalStatus = 200;
/// Interim answers and answers to other requests in one exchange. A server that sends them without end would otherwise
/// take the loop's time until the exchange times out.
constexpr std::uint32_t maxSkippedAnswers = 16;

/// Reads the "timeout=N" parameter of the Keep-Alive header.
std::optional<state::duration> readKeepAlive(const protocol::http::message& answer)
{
    constexpr std::string_view parameter = "timeout=";
    const auto header = protocol::http::findHeader(answer, "Keep-Alive");
    const auto at = header ? header->find(parameter) : std::string_view::npos;
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto text = header->substr(at + parameter.size());
    unsigned int seconds = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return problem == std::errc {} ? std::optional<state::duration> { std::chrono::seconds { seconds } } : std::nullopt;
}

} // namespace

http_connection::http_connection(protocol::http::message_limits limits, http_connection_callbacks callbacks)
    : m_parser(protocol::http::message_side::answers, limits)
    , m_callbacks(std::move(callbacks))
{
}

std::shared_ptr<http_connection> http_connection::open(
    uv_loop_t* loop, const sockaddr_in& to, protocol::http::message_limits limits, http_connection_callbacks callbacks)
{
    auto created = std::shared_ptr<http_connection>(new http_connection(limits, std::move(callbacks)));
    const std::weak_ptr<http_connection> weak = created;
    const auto guarded = [weak](auto member) {
        return [weak, member](auto&&... values) {
            if (const auto self = weak.lock())
                (self.get()->*member)(values...);
        };
    };
    stream_callbacks stream;
    stream.connected = guarded(&http_connection::handleConnected);
    stream.received = guarded(&http_connection::handleReceived);
    stream.endOfStream = guarded(&http_connection::handleEnd);
    stream.failed = [weak](int /*problem*/) {
        if (const auto self = weak.lock())
            self->handleFailure();
    };
    created->m_stream = tcp_stream::connect(loop, to, std::move(stream));
    return created;
}

void http_connection::send(std::string request, exchange_options options)
{
    m_busy = true;
    m_skippedAnswers = 0;
    if (options.isHeadRequest)
        m_parser.expectNoBody();
    m_parser.limitNextBody(options.maxBodyBytes);
    if (m_connected)
        return m_stream->write(std::move(request), std::move(options.held));
    m_unsent = std::move(request);
    m_unsentHeld = std::move(options.held);
}

void http_connection::close()
{
    m_closed = true;
    m_busy = false;
    m_stream->close();
}

void http_connection::handleConnected()
{
    const auto self = shared_from_this();
    m_connected = true;
    m_stream->startReading();
    if (m_unsent.empty())
        return;
    if (m_callbacks.maySend && !m_callbacks.maySend())
        return fail(connection_failure::not_connected);
    m_stream->write(std::exchange(m_unsent, {}), std::exchange(m_unsentHeld, {}));
}

void http_connection::handleReceived(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_receivedBytes += bytes.size();
    if (!m_busy)
        return fail(connection_failure::truncated);
    parseAnswers(bytes);
}

void http_connection::parseAnswers(std::string_view bytes)
{
    while (!m_closed && !bytes.empty()) {
        switch (m_parser.consume(bytes)) {
        case protocol::http::parse_status::incomplete:
            continue;
        case protocol::http::parse_status::complete:
            finishAnswer(m_parser.takeMessage(), !bytes.empty());
            continue;
        case protocol::http::parse_status::body_too_large:
            return fail(connection_failure::too_large);
        default:
            return fail(connection_failure::malformed);
        }
    }
}

void http_connection::finishAnswer(protocol::http::message answer, bool hasMore)
{
    if (answer.status < firstFinalStatus || !m_callbacks.isExpected(answer)) {
        const bool isLast = answer.status >= firstFinalStatus && !answer.keepAlive;
        if (isLast || ++m_skippedAnswers > maxSkippedAnswers)
            fail(isLast ? connection_failure::truncated : connection_failure::malformed);
        return;
    }
    // The exchange is marked as finished before the callback, so that the callback may start the next one.
    m_busy = false;
    m_keepAliveTimeout = readKeepAlive(answer);
    const bool requestFullySent = m_stream->pendingBytes() == 0;
    if (!answer.keepAlive || hasMore || !requestFullySent)
        close();
    m_callbacks.answered(std::move(answer));
}

void http_connection::handleEnd()
{
    const auto self = shared_from_this();
    if (m_busy && m_parser.finish() == protocol::http::parse_status::complete) {
        auto answer = m_parser.takeMessage();
        answer.keepAlive = false;
        finishAnswer(std::move(answer), false);
    }
    if (!m_closed)
        fail(connection_failure::truncated);
}

void http_connection::handleFailure()
{
    const auto self = shared_from_this();
    fail(m_connected ? connection_failure::truncated : connection_failure::not_connected);
}

void http_connection::fail(connection_failure reason)
{
    if (m_closed)
        return;
    const bool busy = m_busy;
    const auto self = shared_from_this();
    close();
    if (busy)
        m_callbacks.failed(reason);
    else
        m_callbacks.closedWhileIdle();
}

} // namespace acaciaslip::transport::loop
