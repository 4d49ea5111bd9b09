#include "transport/loop/caller_connection.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr std::size_t mostInProgress = 16; ///< requests of one connection; further ones wait unread
constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;
constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

int statusFor(protocol::http::parse_progress problem) noexcept
{
    if (problem == protocol::http::parse_progress::head_too_large)
        return statusHeadersTooLarge;
    return problem == protocol::http::parse_progress::body_too_large ? statusTooLarge : statusBadRequest;
}

} // namespace

caller_connection::caller_connection(connection_limits limits, caller_callbacks callbacks)
    : m_limits(limits)
    , m_callbacks(std::move(callbacks))
    , m_parser(protocol::http::message_side::requests, limits.message)
{
}

std::shared_ptr<caller_connection> caller_connection::accept(
    uv_stream_t* listener, connection_limits limits, caller_callbacks callbacks)
{
    auto made = std::shared_ptr<caller_connection>(new caller_connection(limits, std::move(callbacks)));
    const std::weak_ptr<caller_connection> weak = made;
    stream_callbacks stream;
    stream.received = [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->noteReceived(bytes);
    };
    stream.ended = [weak] {
        if (const auto self = weak.lock())
            self->close();
    };
    stream.failed = [weak](int /*problem*/) {
        if (const auto self = weak.lock())
            self->close();
    };
    made->m_stream = tcp_stream::accept(listener, std::move(stream));
    if (!made->m_stream)
        return nullptr;
    made->m_timer = std::make_unique<timer>(listener->loop, [weak] {
        if (const auto self = weak.lock())
            self->finish();
    });
    made->restartTimer();
    made->m_stream->startReading();
    return made;
}

void caller_connection::noteReceived(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (m_lastRead)
        return;
    m_unread.append(bytes);
    readRequests();
}

void caller_connection::readRequests()
{
    m_reading = true;
    std::string_view bytes = m_unread;
    const auto before = bytes.size();
    while (!m_closed && !m_lastRead && !bytes.empty() && m_exchanges.size() < mostInProgress) {
        const auto progress = m_parser.take(bytes);
        if (progress == protocol::http::parse_progress::whole)
            takeRequest();
        else if (progress != protocol::http::parse_progress::more) {
            refuseBytes(progress);
            break;
        } else if (m_parser.takeExpectsContinue())
            m_stream->write(std::string(continueLine));
    }
    m_reading = false;
    m_unread.erase(0, before - bytes.size());
    if (m_exchanges.size() >= mostInProgress)
        m_stream->stopReading();
    if (!m_closed)
        restartTimer();
}

void caller_connection::takeRequest()
{
    auto request = m_parser.takeMessage();
    const auto id = m_callbacks.number();
    m_exchanges.push_back({ id, std::nullopt, !request.keepAlive });
    m_lastRead |= !request.keepAlive;
    m_callbacks.arrived(id, std::move(request)); // may answer at once
}

void caller_connection::refuseBytes(protocol::http::parse_progress problem)
{
    m_lastRead = true;
    exchange refused;
    refused.answer = protocol::http::writeAnswer(statusFor(problem), "text/plain", "", false);
    refused.closes = true;
    m_exchanges.push_back(std::move(refused));
    flush();
}

void caller_connection::answer(state::request_id id, std::string bytes, bool close)
{
    const auto found
        = std::find_if(m_exchanges.begin(), m_exchanges.end(), [&](const exchange& known) { return known.id == id; });
    if (found == m_exchanges.end() || m_closed)
        return;
    const auto self = shared_from_this();
    found->answer = std::move(bytes);
    found->closes |= close;
    flush();
}

void caller_connection::flush()
{
    while (!m_exchanges.empty() && m_exchanges.front().answer) {
        m_stream->write(std::move(*m_exchanges.front().answer));
        const bool closes = m_exchanges.front().closes;
        m_exchanges.pop_front();
        if (closes)
            return finish();
    }
    if (m_leaving && m_exchanges.empty() && !m_parser.hasBegun() && m_unread.empty())
        return finish();
    if (m_reading)
        return;
    m_stream->startReading();
    if (!m_lastRead && !m_unread.empty())
        return readRequests();
    restartTimer();
}

/// Ends the connection; requests behind the last answer count as not read.
void caller_connection::finish()
{
    end([this] { m_stream->closeWhenWritten(); });
}

void caller_connection::leave()
{
    m_leaving = true;
    if (m_exchanges.empty() && !m_parser.hasBegun() && m_unread.empty())
        finish();
}

void caller_connection::close()
{
    end([this] { m_stream->close(); });
}

void caller_connection::end(const std::function<void()>& endStream)
{
    const auto self = shared_from_this(); // the owner may let go of it below
    if (std::exchange(m_closed, true))
        return;
    m_timer->stop();
    endStream();
    for (const auto& unanswered : std::exchange(m_exchanges, {}))
        m_callbacks.gone(unanswered.id);
    m_callbacks.closed();
}

bool caller_connection::isQuiet() const noexcept
{
    return m_exchanges.empty() && m_stream->unwritten() == 0;
}

void caller_connection::restartTimer()
{
    if (!m_exchanges.empty())
        return m_timer->stop();
    m_timer->start(m_parser.hasBegun() ? m_limits.headerTimeout : m_limits.idleTimeout);
}

} // namespace acaciaslip::transport::loop
