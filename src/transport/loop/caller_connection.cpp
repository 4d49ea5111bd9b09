#include "transport/loop/caller_connection.hpp"

#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr std::size_t mostInProgress = 16; ///< requests of one connection; further ones wait unread
constexpr state::duration resetProbe = std::chrono::milliseconds { 50 }; ///< a few round trips between data centres
constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;
constexpr int statusTooLarge = 413;
constexpr int statusTargetTooLong = 414;
constexpr int statusHeadersTooLarge = 431;
constexpr int statusVersion = 505;
constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

using protocol::http::parse_progress;

struct parse_problem {
    parse_progress progress;
    int status;
    std::string_view reason;
};

constexpr std::array<parse_problem, 5> problems { {
    { parse_progress::malformed, statusBadRequest, "malformed request" },
    { parse_progress::head_too_large, statusHeadersTooLarge, "headers too large" },
    { parse_progress::body_too_large, statusTooLarge, "body too large" },
    { parse_progress::target_too_long, statusTargetTooLong, "target too long" },
    { parse_progress::unknown_version, statusVersion, "unknown HTTP version" },
} };

const parse_problem& describe(parse_progress progress) noexcept
{
    const auto* const found
        = std::find_if(problems.begin(), problems.end(), [&](const auto& known) { return known.progress == progress; });
    return found != problems.end() ? *found : problems.front();
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
            self->noteEnded();
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
            self->noteTimeout();
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
        if (progress == parse_progress::whole)
            takeRequest();
        else if (progress != parse_progress::more) {
            refuse(describe(progress).status, describe(progress).reason);
            break;
        } else if (m_parser.takeExpectsContinue())
            m_stream->write(std::string(continueLine));
    }
    m_reading = false;
    m_unread.erase(0, before - bytes.size());
    if (m_exchanges.size() >= mostInProgress)
        m_stream->stopReading();
    if (m_ended && !m_lastRead && m_unread.empty() && m_parser.hasBegun())
        refuse(statusBadRequest, "the request ended early");
    if (!m_closed)
        restartTimer();
}

void caller_connection::takeRequest()
{
    auto request = m_parser.takeMessage();
    const auto id = m_callbacks.number();
    m_begunAt.reset();
    m_exchanges.push_back({ id, std::nullopt, !request.keepAlive, request.isHttp11 });
    m_lastRead |= !request.keepAlive;
    m_callbacks.arrived(id, std::move(request)); // may answer at once
}

void caller_connection::refuse(int status, std::string_view reason)
{
    m_lastRead = true;
    exchange refused;
    refused.answer = m_callbacks.refuse ? m_callbacks.refuse(status, reason)
                                        : protocol::http::writeAnswer(status, "text/plain", "", false);
    refused.closes = true;
    m_exchanges.push_back(std::move(refused));
    flush();
}

void caller_connection::refusePartial(int status, std::string_view reason)
{
    if (!m_closed && !m_lastRead && m_parser.hasBegun())
        refuse(status, reason);
}

void caller_connection::noteEnded()
{
    const auto self = shared_from_this();
    if (!m_limits.answersHalfClosed)
        return close();
    m_ended = true;
    readRequests();
    if (m_closed)
        return;
    if (m_exchanges.empty())
        return finish();
    // A caller that is gone, and does not only send no more, resets the connection when something is sent to it.
    if (m_exchanges.front().isHttp11 && !m_exchanges.front().answer)
        m_stream->write(std::string(continueLine));
    probeReset();
}

void caller_connection::probeReset()
{
    if (m_stream->isReset())
        return close();
    m_timer->start(resetProbe);
}

void caller_connection::noteTimeout()
{
    const auto self = shared_from_this();
    if (!m_exchanges.empty())
        return probeReset();
    if (m_parser.hasBegun())
        return refuse(statusTimeout, "the request did not come whole in time");
    finish();
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
    const bool idle = m_exchanges.empty() && !m_parser.hasBegun() && m_unread.empty();
    if (idle && (m_ended || m_leaving == state::duration::zero()))
        return finish();
    if (m_reading)
        return;
    if (!m_ended)
        m_stream->startReading();
    if (!m_lastRead && !m_unread.empty())
        return readRequests();
    restartTimer();
}

/// Ends the connection once the caller has what is written; requests behind the last answer count as not read.
void caller_connection::finish()
{
    const auto self = shared_from_this();
    if (!end())
        return;
    m_stream->closeWhenWritten([self] { self->m_callbacks.closed(); });
}

void caller_connection::leave(state::duration quiet)
{
    if (std::exchange(m_leaving, quiet) == quiet)
        return;
    if (!m_exchanges.empty() || m_parser.hasBegun() || !m_unread.empty())
        return;
    if (quiet == state::duration::zero())
        return finish();
    restartTimer();
}

void caller_connection::close()
{
    const auto self = shared_from_this(); // the owner may let go of it below
    const bool lingers = !end();
    m_stream->close();
    if (!lingers)
        m_callbacks.closed();
}

/// Gives up what is unanswered. \return false when that was done before
bool caller_connection::end()
{
    if (std::exchange(m_closed, true))
        return false;
    m_timer->stop();
    for (const auto& unanswered : std::exchange(m_exchanges, {}))
        m_callbacks.gone(unanswered.id);
    return true;
}

bool caller_connection::isQuiet() const noexcept
{
    return m_exchanges.empty() && m_stream->unwritten() == 0;
}

void caller_connection::restartTimer()
{
    if (!m_exchanges.empty())
        return m_ended ? m_timer->start(resetProbe) : m_timer->stop();
    if (!m_parser.hasBegun()) {
        m_begunAt.reset();
        return m_timer->start(m_leaving.value_or(m_limits.idleTimeout));
    }
    const auto now = bootNow();
    if (!m_begunAt)
        m_begunAt = now;
    auto left = m_limits.headerTimeout;
    if (m_limits.requestTimeout)
        left = std::min(left, *m_begunAt + *m_limits.requestTimeout - now);
    m_timer->start(left);
}

} // namespace acaciaslip::transport::loop
