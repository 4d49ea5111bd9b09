#include "transport/server_connection.hpp"

#include "transport/clock.hpp"
#include "transport/deadline_stream.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace acaciaslip::transport {

namespace {

constexpr auto idHeader = "Acaciaslip-Request";
constexpr auto notRunHeader = "Acaciaslip-Not-Run";
constexpr int statusUnavailable = 503;

httplib::Request makeRequest(
    const transport::exchange& original, const std::string& attemptId, state::time_point deadline)
{
    httplib::Request request;
    request.method = original.method;
    request.path = original.target;
    request.headers = original.headers;
    request.headers.erase("Request-Timeout-Ms");
    request.set_header(idHeader, attemptId);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - monotonicNow()).count();
    request.set_header("Request-Timeout-Ms", std::to_string(std::max<std::int64_t>(left, 1)));
    if (original.body.empty())
        return request;
    request.content_length_ = original.body.size();
    request.content_provider_ = [&original](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
        return sink.write(original.body.data() + offset, length);
    };
    return request;
}

state::attempt_outcome readOutcome(const httplib::Response& response, const std::string& attemptId)
{
    if (response.get_header_value_count(idHeader) != 1 || response.get_header_value(idHeader) != attemptId)
        return state::attempt_outcome::mismatched;
    if (response.status == statusUnavailable && response.get_header_value(notRunHeader) == "1")
        return state::attempt_outcome::shed;
    return state::attempt_outcome::answered;
}

state::attempt_outcome readFailure(const answer_stream& stream, const deadline_stream& connection)
{
    if (connection.bytesWritten() == 0)
        return stream.isExpired() ? state::attempt_outcome::expired : state::attempt_outcome::connect_failed;
    if (stream.state() == answer_state::malformed)
        return state::attempt_outcome::mismatched;
    return connection.isTimedOut() ? state::attempt_outcome::timed_out : state::attempt_outcome::cut;
}

std::shared_ptr<server_answer> makeAnswer(httplib::Response& response, answer_stream& stream)
{
    auto answer = std::make_shared<server_answer>();
    answer->status = response.status;
    answer->reason = std::move(response.reason);
    answer->headers = std::move(response.headers);
    removeOwnHeaders(answer->headers);
    answer->body = std::move(stream.body());
    answer->declaredLength = stream.head().declaredLength;
    return answer;
}

} // namespace

server_connection::server_connection(std::string name, address server)
    : ClientImpl(server.ip, server.port)
    , m_name(std::move(name))
    , m_server(std::move(server))
{
    set_keep_alive(true);
    set_decompress(false);
    set_url_encode(false);
    set_follow_location(false);
}

server_connection::~server_connection()
{
    if (m_socket >= 0)
        close(m_socket);
}

exchange_result server_connection::exchange(const transport::exchange& original, const std::string& attemptId,
    const std::function<bool()>& mayWrite, state::time_point deadline, const protocol::message_limits& limits)
{
    exchange_result result;
    if (!mayWrite()) {
        result.outcome = state::attempt_outcome::expired;
        result.poisoned = false;
        return result;
    }
    if (m_socket < 0 && !connect(deadline))
        return result;
    deadline_stream connection(m_socket);
    connection.setDeadline(deadline);
    answer_stream stream(connection, mayWrite, original.method == "HEAD", limits);
    m_stream = &stream;
    auto request = makeRequest(original, attemptId, deadline);
    httplib::Response response;
    httplib::Error error {};
    const bool whole = send(request, response, error) && stream.state() == answer_state::whole;
    m_stream = nullptr;
    if (!whole) {
        result.outcome = readFailure(stream, connection);
        return result;
    }
    result.outcome = readOutcome(response, attemptId);
    result.poisoned = result.outcome == state::attempt_outcome::mismatched || !stream.head().keepAlive
        || !connection.unread().empty();
    if (result.outcome == state::attempt_outcome::answered)
        result.answer = makeAnswer(response, stream);
    return result;
}

void server_connection::abort()
{
    const std::lock_guard lock(m_mutex);
    m_aborted = true;
    if (m_socket >= 0)
        shutdown(m_socket, SHUT_RDWR);
}

bool server_connection::isReusable() const
{
    if (m_socket < 0 || m_aborted)
        return false;
    char byte = 0;
    const auto got = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// The library never holds the socket: it is told that it is connected.
bool server_connection::create_and_connect_socket(Socket& /*socket*/, httplib::Error& /*error*/)
{
    return true;
}

bool server_connection::process_socket(const Socket& /*socket*/, std::function<bool(httplib::Stream&)> callback)
{
    return callback(*m_stream);
}

bool server_connection::open()
{
    const std::lock_guard lock(m_mutex);
    if (m_aborted)
        return false;
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0)
        return false;
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
}

bool server_connection::connect(state::time_point deadline)
{
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(m_server.port));
    if (inet_pton(AF_INET, m_server.ip.c_str(), &to.sin_addr) != 1 || !open())
        return false;
    if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0)
        return true;
    if (errno != EINPROGRESS)
        return false;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - monotonicNow()).count();
    pollfd waited { m_socket, POLLOUT, 0 };
    int problem = 0;
    socklen_t size = sizeof(problem);
    return left > 0 && poll(&waited, 1, static_cast<int>(left)) == 1
        && getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &problem, &size) == 0 && problem == 0;
}

} // namespace acaciaslip::transport
