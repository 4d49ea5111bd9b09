#include "transport/loop/http_link.hpp"

#include <charconv>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr int firstFinalStatus = 200;

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

http_link::http_link(protocol::http::message_limits limits, link_callbacks callbacks)
    : m_parser(protocol::http::message_side::answers, limits)
    , m_callbacks(std::move(callbacks))
{
}

std::shared_ptr<http_link> http_link::open(
    uv_loop_t* loop, const sockaddr_in& to, protocol::http::message_limits limits, link_callbacks callbacks)
{
    auto created = std::shared_ptr<http_link>(new http_link(limits, std::move(callbacks)));
    const std::weak_ptr<http_link> weak = created;
    const auto guarded = [weak](auto member) {
        return [weak, member](auto&&... values) {
            if (const auto self = weak.lock())
                (self.get()->*member)(values...);
        };
    };
    stream_callbacks stream;
    stream.connected = guarded(&http_link::handleConnected);
    stream.received = guarded(&http_link::handleReceived);
    stream.ended = guarded(&http_link::handleEnd);
    stream.failed = [weak](int /*problem*/) {
        if (const auto self = weak.lock())
            self->handleFailure();
    };
    created->m_stream = tcp_stream::connect(loop, to, std::move(stream));
    return created;
}

void http_link::send(std::string request, bool toHead)
{
    m_busy = true;
    if (toHead)
        m_parser.expectNoBody();
    if (m_connected)
        m_stream->write(std::move(request));
    else
        m_unsent = std::move(request);
}

void http_link::close()
{
    m_closed = true;
    m_busy = false;
    m_stream->close();
}

void http_link::handleConnected()
{
    const auto self = shared_from_this();
    m_connected = true;
    m_stream->startReading();
    if (m_unsent.empty())
        return;
    if (m_callbacks.mayBegin && !m_callbacks.mayBegin())
        return fail(link_failure::not_connected);
    m_stream->write(std::exchange(m_unsent, {}));
}

void http_link::handleReceived(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!m_busy)
        return fail(link_failure::cut);
    parseAnswers(bytes);
}

void http_link::parseAnswers(std::string_view bytes)
{
    while (!m_closed && !bytes.empty()) {
        switch (m_parser.take(bytes)) {
        case protocol::http::parse_progress::more:
            continue;
        case protocol::http::parse_progress::whole:
            finishAnswer(m_parser.takeMessage(), !bytes.empty());
            continue;
        default:
            return fail(link_failure::malformed);
        }
    }
}

void http_link::finishAnswer(protocol::http::message answer, bool hasMore)
{
    if (answer.status < firstFinalStatus)
        return;
    if (!m_callbacks.isAwaited(answer)) {
        if (!answer.keepAlive)
            fail(link_failure::cut);
        return;
    }
    // The exchange is marked as finished before the callback, so that the callback may start the next one.
    m_busy = false;
    m_keepAliveTimeout = readKeepAlive(answer);
    const bool requestFullySent = m_stream->unwritten() == 0;
    if (!answer.keepAlive || hasMore || !requestFullySent)
        close();
    m_callbacks.answered(std::move(answer));
}

void http_link::handleEnd()
{
    const auto self = shared_from_this();
    if (m_busy && m_parser.finish() == protocol::http::parse_progress::whole) {
        auto answer = m_parser.takeMessage();
        answer.keepAlive = false;
        finishAnswer(std::move(answer), false);
    }
    if (!m_closed)
        fail(link_failure::cut);
}

void http_link::handleFailure()
{
    const auto self = shared_from_this();
    fail(m_connected ? link_failure::cut : link_failure::not_connected);
}

void http_link::fail(link_failure reason)
{
    if (m_closed)
        return;
    const bool busy = m_busy;
    const auto self = shared_from_this();
    close();
    if (busy)
        m_callbacks.failed(reason);
    else
        m_callbacks.idleClosed();
}

} // namespace acaciaslip::transport::loop
