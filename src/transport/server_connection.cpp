#include "transport/server_connection.hpp"

#include "transport/clock.hpp"
#include "transport/deadline_stream.hpp"

#include <chrono>

#include <sys/socket.h>

namespace acaciaslip::transport {

namespace {

constexpr auto idHeader = "Acaciaslip-Request";
constexpr auto notRunHeader = "Acaciaslip-Not-Run";
constexpr int statusUnavailable = 503;

state::attempt_outcome readOutcome(const httplib::Response& response, const std::string& attemptId)
{
    if (response.get_header_value(idHeader) != attemptId)
        return state::attempt_outcome::mismatched;
    if (response.status == statusUnavailable && response.get_header_value(notRunHeader) == "1")
        return state::attempt_outcome::shed;
    return state::attempt_outcome::answered;
}

} // namespace

server_connection::server_connection(std::string name, const std::string& ip, int port)
    : ClientImpl(ip, port)
    , m_name(std::move(name))
{
    set_keep_alive(true);
    set_tcp_nodelay(true);
    set_decompress(false);
    set_url_encode(false);
    set_follow_location(false);
}

exchange_result server_connection::exchange(httplib::Request& request, const std::string& attemptId,
    const std::function<bool()>& mayWrite, state::duration budget)
{
    exchange_result result;
    m_mayWrite = &mayWrite;
    m_expired = false;
    m_wrote = false;
    m_timedOut = false;
    m_unread = false;
    m_deadline = monotonicNow() + budget;
    set_connection_timeout(std::chrono::duration_cast<std::chrono::microseconds>(budget));
    httplib::Error error {};
    const bool whole = send(request, result.response, error);
    if (whole) {
        result.outcome = readOutcome(result.response, attemptId);
        result.poisoned = result.outcome == state::attempt_outcome::mismatched || m_unread;
    } else if (m_wrote) {
        result.outcome = m_timedOut ? state::attempt_outcome::timed_out : state::attempt_outcome::cut;
    } else {
        result.outcome = m_expired ? state::attempt_outcome::expired : state::attempt_outcome::connect_failed;
    }
    return result;
}

bool server_connection::isReusable() const
{
    if (is_socket_open() == 0)
        return false;
    char byte = 0;
    const auto got = recv(socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool server_connection::process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback)
{
    if (!(*m_mayWrite)()) {
        m_expired = true;
        return false;
    }
    deadline_stream stream(socket.sock);
    stream.setDeadline(m_deadline);
    const bool whole = callback(stream);
    m_wrote = stream.bytesWritten() > 0;
    m_timedOut = stream.isTimedOut();
    m_unread = stream.hasUnread();
    return whole;
}

} // namespace acaciaslip::transport
