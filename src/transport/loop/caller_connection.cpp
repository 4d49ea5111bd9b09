#include "transport/loop/caller_connection.hpp"

#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

/// Requests per connection; further ones are not parsed until an earlier one is answered.
constexpr std::size_t maxInProgress = 16;
/// A few round trips between data centres.
constexpr state::duration resetCheckInterval = std::chrono::milliseconds { 50 };
constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;
constexpr int statusBodyTooLarge = 413;
constexpr int statusTargetTooLong = 414;
constexpr int statusHeadersTooLarge = 431;
constexpr int statusUnavailable = 503;
constexpr int statusVersionNotSupported = 505;
constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

using protocol::http::parse_status;

struct parse_problem {
    parse_status progress;
    int status;
    std::string_view reason;
};

constexpr std::array<parse_problem, 6> problems { {
    { parse_status::malformed, statusBadRequest, "malformed request" },
    { parse_status::head_too_large, statusHeadersTooLarge, "headers too large" },
    { parse_status::body_too_large, statusBodyTooLarge, "body too large" },
    { parse_status::target_too_long, statusTargetTooLong, "target too long" },
    { parse_status::unknown_version, statusVersionNotSupported, "unknown HTTP version" },
    { parse_status::no_memory, statusUnavailable, "no memory for the request" },
} };

const parse_problem& describe(parse_status progress) noexcept
{
    const auto* const found
        = std::find_if(problems.begin(), problems.end(), [&](const auto& known) { return known.progress == progress; });
    return found != problems.end() ? *found : problems.front();
}

} // namespace

caller_connection::caller_connection(connection_limits limits, caller_connection_callbacks callbacks)
    : m_limits(limits)
    , m_callbacks(std::move(callbacks))
    , m_parser(protocol::http::message_side::requests, limits.message)
{
}

std::shared_ptr<caller_connection> caller_connection::accept(
    uv_stream_t* listener, connection_limits limits, caller_connection_callbacks callbacks)
{
    auto connection = std::shared_ptr<caller_connection>(new caller_connection(limits, std::move(callbacks)));
    const std::weak_ptr<caller_connection> weak = connection;
    stream_callbacks stream;
    stream.received = [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->handleReceived(bytes);
    };
    stream.endOfStream = [weak] {
        if (const auto self = weak.lock())
            self->handleEnd();
    };
    stream.failed = [weak](int /*problem*/) {
        if (const auto self = weak.lock())
            self->close();
    };
    connection->m_stream = tcp_stream::accept(listener, std::move(stream));
    if (!connection->m_stream)
        return nullptr;
    connection->m_timer = std::make_unique<timer>(listener->loop, [weak] {
        if (const auto self = weak.lock())
            self->handleTimeout();
    });
    connection->restartTimer();
    connection->m_stream->startReading();
    return connection;
}

void caller_connection::handleReceived(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (m_stoppedReading)
        return;
    m_unparsed.append(bytes);
    readRequests();
}

void caller_connection::readRequests()
{
    m_parsing = true;
    std::string_view bytes = m_unparsed;
    const auto before = bytes.size();
    while (!m_closed && !m_stoppedReading && !bytes.empty() && m_exchanges.size() < maxInProgress) {
        const auto progress = m_parser.consume(bytes);
        if (progress == parse_status::complete)
            takeRequest();
        else if (progress != parse_status::incomplete) {
            refuse(describe(progress).status, describe(progress).reason);
            break;
        } else if (m_parser.takeExpectsContinue())
            m_stream->write(std::string(continueAnswer));
    }
    m_parsing = false;
    m_unparsed.erase(0, before - bytes.size());
    if (m_exchanges.size() >= maxInProgress)
        m_stream->stopReading();
    if (m_halfClosed && !m_stoppedReading && m_unparsed.empty() && m_parser.hasPartialMessage())
        refuse(statusBadRequest, "the request ended early");
    if (!m_closed)
        restartTimer();
}

void caller_connection::takeRequest()
{
    auto request = m_parser.takeMessage();
    const auto id = m_callbacks.nextRequestId();
    m_requestStartedAt.reset();
    m_exchanges.push_back({ id, std::nullopt, false, request.isHttp11, {} });
    m_stoppedReading |= !request.keepAlive;
    m_callbacks.requestReceived(id, std::move(request)); // may call answer() before returning
}

void caller_connection::refuse(int status, std::string_view reason)
{
    m_stoppedReading = true;
    exchange refused;
    refused.answer = m_callbacks.makeRefusal ? m_callbacks.makeRefusal(status, reason)
                                             : protocol::http::writeAnswer(status, "text/plain", "", false);
    refused.closes = true;
    m_exchanges.push_back(std::move(refused));
    flush();
}

void caller_connection::refusePartial(int status, std::string_view reason)
{
    if (!m_closed && !m_stoppedReading && m_parser.hasPartialMessage())
        refuse(status, reason);
}

void caller_connection::handleEnd()
{
    const auto self = shared_from_this();
    if (!m_limits.answersHalfClosed)
        return close();
    m_halfClosed = true;
    readRequests();
    if (m_closed)
        return;
    if (m_exchanges.empty())
        return finish();
    // Distinguishes a closed connection from a half-closed one: a caller that has closed both directions resets the
    // connection when it receives data.
    if (m_exchanges.front().isHttp11 && !m_exchanges.front().answer)
        m_stream->write(std::string(continueAnswer));
    checkReset();
}

void caller_connection::checkReset()
{
    if (m_stream->isClosedOrReset())
        return close();
    m_timer->start(resetCheckInterval);
}

void caller_connection::handleTimeout()
{
    const auto self = shared_from_this();
    if (!m_exchanges.empty())
        return checkReset();
    if (m_parser.hasPartialMessage())
        return refuse(statusTimeout, "the request did not come whole in time");
    finish();
}

void caller_connection::answer(state::request_id id, const answer_writer& write, connection_persistence persistence,
    std::shared_ptr<const void> held)
{
    const auto found
        = std::find_if(m_exchanges.begin(), m_exchanges.end(), [&](const exchange& known) { return known.id == id; });
    if (found == m_exchanges.end() || m_closed)
        return;
    const auto self = shared_from_this();
    m_stoppedReading |= persistence != connection_persistence::keep_alive;
    const bool isLast = m_stoppedReading && std::next(found) == m_exchanges.end();
    found->closes = isLast || persistence == connection_persistence::ends_answer;
    found->answer = write(!found->closes);
    found->held = std::move(held);
    flush();
}

void caller_connection::flush()
{
    while (!m_exchanges.empty() && m_exchanges.front().answer) {
        const bool closes = m_exchanges.front().closes;
        // The end of the connection may be what ends the answer.
        if (closes)
            m_stream->resetWhenCutOff(true);
        m_stream->write(std::move(*m_exchanges.front().answer), std::move(m_exchanges.front().held));
        m_exchanges.pop_front();
        if (closes)
            return finish();
    }
    // The last answer may have been encoded before reading stopped, so that it does not announce the end.
    if (m_exchanges.empty() && m_stoppedReading)
        return finish();
    const bool idle = m_exchanges.empty() && !m_parser.hasPartialMessage() && m_unparsed.empty();
    if (idle && (m_halfClosed || m_closeAfterIdle == state::duration::zero()))
        return finish();
    if (m_parsing)
        return;
    if (!m_halfClosed)
        m_stream->startReading();
    if (!m_stoppedReading && !m_unparsed.empty())
        return readRequests();
    restartTimer();
}

/// Closes the connection after all written data is sent. Requests after the last answer are treated as not read.
void caller_connection::finish()
{
    const auto self = shared_from_this();
    if (!end())
        return;
    m_stream->shutdownAndClose([self] { self->m_callbacks.closed(); });
}

void caller_connection::drain(state::duration minIdleTime)
{
    if (std::exchange(m_closeAfterIdle, minIdleTime) == minIdleTime)
        return;
    if (!m_exchanges.empty() || m_parser.hasPartialMessage() || !m_unparsed.empty())
        return;
    if (minIdleTime == state::duration::zero())
        return finish();
    restartTimer();
}

void caller_connection::close()
{
    const auto self = shared_from_this(); // the owner may release its reference below
    const bool alreadyEnded = !end();
    m_stream->close();
    if (!alreadyEnded)
        m_callbacks.closed();
}

/// Marks the connection as closed and drops its unanswered requests.
/// \return false if the connection was already marked as closed
bool caller_connection::end()
{
    if (std::exchange(m_closed, true))
        return false;
    m_timer->stop();
    for (const auto& unanswered : std::exchange(m_exchanges, {}))
        m_callbacks.callerDisconnected(unanswered.id);
    return true;
}

bool caller_connection::isDrained() const noexcept
{
    return m_exchanges.empty() && m_stream->pendingBytes() == 0;
}

void caller_connection::restartTimer()
{
    if (!m_exchanges.empty())
        return m_halfClosed ? m_timer->start(resetCheckInterval) : m_timer->stop();
    if (!m_parser.hasPartialMessage()) {
        m_requestStartedAt.reset();
        return m_timer->start(m_closeAfterIdle.value_or(m_limits.idleTimeout));
    }
    const auto now = bootNow();
    if (!m_requestStartedAt)
        m_requestStartedAt = now;
    auto left = m_limits.headerTimeout;
    if (m_limits.requestTimeout)
        left = std::min(left, *m_requestStartedAt + *m_limits.requestTimeout - now);
    m_timer->start(left);
}

} // namespace acaciaslip::transport::loop
