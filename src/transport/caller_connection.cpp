#include "transport/caller_connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t receiveBytes = 16384;
constexpr std::size_t turnBytes = 1024UL * 1024; ///< read from one connection before the others have their turn
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;
constexpr int statusTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;
constexpr int statusUnavailable = 503;

} // namespace

caller_connection::caller_connection(
    int socket, const edge_limits& limits, request_parser& parser, state::time_point now)
    : m_socket(socket)
    , m_limits(limits)
    , m_parser(parser)
    , m_deadline(now + limits.idle)
    , m_idleSince(now)
{
}

caller_connection::~caller_connection()
{
    close();
}

void caller_connection::noteEvents(std::uint32_t events) noexcept
{
    m_readable |= (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    m_ended |= (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    m_reset |= (events & (EPOLLHUP | EPOLLERR)) != 0;
}

std::shared_ptr<exchange> caller_connection::advance(state::time_point now)
{
    m_wantsTurn = false;
    if (m_stage == caller_stage::writing)
        writeMore(now);
    if (m_stage == caller_stage::reading) {
        receive();
        if (auto request = readRequest(now))
            return request;
        if (m_stage == caller_stage::writing)
            writeMore(now);
    }
    if (m_stage == caller_stage::lingering)
        discard();
    return nullptr;
}

bool caller_connection::isCallerGone()
{
    if (m_stage != caller_stage::waiting || !m_ended)
        return false;
    if (!m_reset && m_isHttp11 && !m_saidInterim)
        sayInterim();
    return m_reset;
}

void caller_connection::answer(const caller_result& result, state::time_point now)
{
    auto wishes = m_wishes;
    wishes.keepAlive &= !m_endSoon;
    beginAnswer(makeAnswer(result, wishes), now);
}

void caller_connection::refuse(int status, std::string_view reason, state::time_point now)
{
    beginAnswer(makeEdgeRefusal(status, reason, { m_wishes.toHead, false }), now);
}

void caller_connection::checkDeadline(state::time_point now)
{
    if (m_stage == caller_stage::waiting || now < m_deadline)
        return;
    if (m_stage == caller_stage::reading && m_started) {
        refuse(statusTimeout, "the request did not come whole in time", now);
        writeMore(now);
    } else {
        close();
    }
}

void caller_connection::endSoon(state::time_point now, bool mayRefuse)
{
    m_endSoon = true;
    if (m_stage != caller_stage::reading || m_readable)
        return;
    if (m_started && mayRefuse) {
        refuse(statusUnavailable, "leaving", now);
        writeMore(now);
    } else if (!m_started && now - m_idleSince >= m_limits.quiet) {
        beginLinger(now);
    }
}

void caller_connection::close() noexcept
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
    m_stage = caller_stage::closed;
}

/// Reads until nothing is there, at most a turn's bytes.
void caller_connection::receive()
{
    std::size_t taken = 0;
    while (m_readable && taken < turnBytes) {
        const auto kept = m_received.size();
        m_received.resize(kept + receiveBytes);
        const auto got = recv(m_socket, m_received.data() + kept, receiveBytes, MSG_DONTWAIT);
        m_received.resize(kept + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        if (got > 0) {
            taken += static_cast<std::size_t>(got);
            m_readable = static_cast<std::size_t>(got) == receiveBytes || m_ended;
        } else if (got == 0 || (errno != EAGAIN && errno != EINTR)) {
            m_readable = false;
            m_ended = true;
            m_reset |= got < 0;
        } else {
            m_readable = errno == EINTR;
        }
    }
    m_wantsTurn = m_readable;
}

/// Drops what comes after the last answer, until the caller closes.
void caller_connection::discard()
{
    m_received.clear();
    std::size_t taken = 0;
    while (m_readable && taken < turnBytes && m_stage == caller_stage::lingering) {
        std::array<char, receiveBytes> dropped;
        const auto got = recv(m_socket, dropped.data(), dropped.size(), MSG_DONTWAIT);
        if (got > 0)
            taken += static_cast<std::size_t>(got);
        else if (got < 0 && errno == EAGAIN)
            m_readable = false;
        else if (got == 0 || errno != EINTR)
            close();
    }
    m_wantsTurn = m_readable && m_stage == caller_stage::lingering;
}

/// \return whether the request's head is there
bool caller_connection::readHead(state::time_point now)
{
    if (m_head)
        return true;
    const auto end = m_received.find(headEnd);
    if (std::min(end, m_received.size()) > m_limits.message.headBytes) {
        refuse(statusHeadersTooLarge, "headers too large", now);
        return false;
    }
    if (end == std::string::npos)
        return false;
    auto read
        = protocol::readRequestHead(std::string_view(m_received).substr(0, end + headEnd.size()), m_limits.message);
    m_received.erase(0, end + headEnd.size());
    if (const auto* refusal = std::get_if<protocol::head_refusal>(&read)) {
        refuse(refusal->status, refusal->reason, now);
        return false;
    }
    m_head = std::move(std::get<protocol::request_head>(read));
    m_wishes = { m_head->method == "HEAD", m_head->keepAlive };
    m_isHttp11 = m_head->isHttp11;
    m_body = protocol::body_reader(m_head->framing, m_head->bodyLength, m_limits.message.bodyBytes);
    if (m_head->expectsContinue && m_head->framing != protocol::body_framing::none && m_received.empty())
        sayInterim();
    return true;
}

std::shared_ptr<exchange> caller_connection::readRequest(state::time_point now)
{
    if (!m_started && !m_received.empty()) {
        m_started = true;
        m_deadline = now + m_limits.request;
    }
    if (readHead(now)) {
        std::string_view input = m_received;
        const auto progress = m_body.take(input);
        m_received.erase(0, m_received.size() - input.size());
        if (progress == protocol::body_progress::whole)
            return makeExchange(now);
        if (progress == protocol::body_progress::malformed)
            refuse(statusBadRequest, "malformed chunk", now);
        if (progress == protocol::body_progress::too_large)
            refuse(statusTooLarge, "body too large", now);
    }
    if (m_stage == caller_stage::reading && m_ended && !m_readable) {
        if (m_started)
            refuse(statusBadRequest, "the request ended early", now);
        else
            close();
    }
    return nullptr;
}

std::shared_ptr<exchange> caller_connection::makeExchange(state::time_point now)
{
    auto parsed = m_parser.parse(m_head->checked);
    if (!parsed) {
        refuse(statusBadRequest, "malformed request", now);
        return nullptr;
    }
    auto made = std::make_shared<exchange>();
    made->method = std::move(m_head->method);
    made->target = std::move(m_head->target);
    made->path = std::move(parsed->path);
    made->headers = std::move(parsed->headers);
    made->body = std::move(m_body.content());
    m_head.reset();
    m_saidInterim = false;
    m_stage = caller_stage::waiting;
    return made;
}

void caller_connection::beginAnswer(caller_answer made, state::time_point now)
{
    m_head.reset();
    m_body = {};
    m_answer = std::move(made);
    m_written = 0;
    m_stage = caller_stage::writing;
    m_deadline = now + m_limits.answer;
}

void caller_connection::writeMore(state::time_point now)
{
    const auto body = m_answer.body();
    const auto whole = m_answer.head.size() + body.size();
    while (m_written < whole) {
        const auto ofHead = std::min(m_written, m_answer.head.size());
        const auto ofBody = m_written - ofHead;
        std::array<iovec, 2> parts { iovec { m_answer.head.data() + ofHead, m_answer.head.size() - ofHead },
            iovec { const_cast<char*>(body.data()) + ofBody, body.size() - ofBody } };
        msghdr message {};
        message.msg_iov = parts.data();
        message.msg_iovlen = parts.size();
        const auto taken = sendmsg(m_socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (taken >= 0)
            m_written += static_cast<std::size_t>(taken);
        else if (errno == EAGAIN)
            return;
        else if (errno != EINTR)
            return close();
    }
    finishAnswer(now);
}

void caller_connection::finishAnswer(state::time_point now)
{
    const bool goesOn = m_answer.keepAlive;
    m_answer = {};
    if (!goesOn)
        return beginLinger(now);
    m_stage = caller_stage::reading;
    m_started = false;
    m_idleSince = now;
    m_deadline = now + m_limits.idle;
}

void caller_connection::beginLinger(state::time_point now)
{
    m_stage = caller_stage::lingering;
    m_deadline = now + m_limits.linger;
    shutdown(m_socket, SHUT_WR);
}

/// Sends an interim answer, at most once a request.
void caller_connection::sayInterim()
{
    m_saidInterim = true;
    (void)send(m_socket, interimAnswer.data(), interimAnswer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

} // namespace acaciaslip::transport
