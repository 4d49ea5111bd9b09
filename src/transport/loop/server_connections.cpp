#include "transport/loop/server_connections.hpp"

#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr protocol::http::message_limits answerLimits { 65536, 67108864 };
constexpr std::uint64_t maxProbeAnswerBytes = 65536; ///< the answer's headers contain all that is used
/// An idle connection is no longer reused once less than this time is left before the server closes it.
constexpr state::duration idleCloseMargin = std::chrono::milliseconds { 800 };
constexpr std::size_t maxRefusedIds = 8; ///< per connection; it is closed after more refusals
constexpr state::duration probeRetryTimeout = std::chrono::milliseconds { 200 }; ///< for a probe that is sent again
/// Time for which an idle connection is reused if the server does not announce its keep-alive timeout.
constexpr state::duration defaultIdleLifetime = std::chrono::seconds { 5 };

} // namespace

/// A connection and the exchange that is in flight on it.
struct server_connections::pooled_connection {
    std::string address;
    std::shared_ptr<http_connection> http;
    state::time_point usableUntil;
    std::optional<state::gateway::probe_id> probe;
    std::optional<state::attempt_id> attempt;
    state::host_id server; ///< server expected at the address
    std::string requestId; ///< that the answer must carry
    /// Requests that were refused here. A copy of the refusal may still come, and must not be taken for a later answer.
    std::vector<std::string> refusedIds;
    std::string probeRequest;
    bool reused = false; ///< has carried an exchange before; the server may have closed it since
    std::unique_ptr<timer> probeTimer; ///< probe timeout
};

server_connections::server_connections(
    uv_loop_t* loop, const protocol::server_http_format& format, event_sink sink, request_source requests)
    : m_loop(loop)
    , m_format(format)
    , m_sink(std::move(sink))
    , m_requests(std::move(requests))
{
}

server_connections::connection_pointer server_connections::acquireConnection(
    const std::string& address, std::size_t limit, std::string_view requestId)
{
    if (auto idle = takeIdleConnection(address, requestId))
        return idle;
    const auto open = m_open.find(address);
    return open == m_open.end() || open->second < limit ? openConnection(address) : nullptr;
}

/// Returns the connection used last that may carry a request, and closes those that are too old.
server_connections::connection_pointer server_connections::takeIdleConnection(
    const std::string& address, std::string_view requestId)
{
    const auto now = bootNow();
    const auto found = m_idle.find(address);
    const auto candidates = found == m_idle.end() ? std::vector<connection_pointer> {} : found->second;
    for (auto connection = candidates.rbegin(); connection != candidates.rend(); ++connection) {
        if (now >= (*connection)->usableUntil) {
            closeConnection(*connection);
            continue;
        }
        const auto& refused = (*connection)->refusedIds;
        if (std::find(refused.begin(), refused.end(), requestId) != refused.end())
            continue;
        auto& idle = m_idle.at(address);
        std::erase(idle, *connection);
        if (idle.empty())
            m_idle.erase(address);
        (*connection)->reused = true;
        return *connection;
    }
    return nullptr;
}

std::unique_ptr<timer> server_connections::makeProbeTimer(const connection_pointer& connection)
{
    return std::make_unique<timer>(m_loop, [this, weak = std::weak_ptr(connection)] {
        if (const auto late = weak.lock())
            failExchange(late, connection_failure::truncated);
    });
}

server_connections::connection_pointer server_connections::openConnection(const std::string& address)
{
    const auto to = parseAddress(address);
    if (!to.ok())
        return nullptr;
    auto made = std::make_shared<pooled_connection>();
    made->address = address;
    const std::weak_ptr<pooled_connection> weak = made;
    http_connection_callbacks callbacks;
    callbacks.isExpected = [this, weak](const protocol::http::message& answer) {
        const auto connection = weak.lock();
        if (!connection)
            return true;
        return connection->probe ? protocol::isProbeAnswer(m_format, answer)
                                 : protocol::isRequestAnswer(m_format, answer, connection->requestId);
    };
    callbacks.answered = [this, weak](protocol::http::message answer) {
        if (const auto connection = weak.lock())
            handleAnswer(connection, std::move(answer));
    };
    callbacks.failed = [this, weak](connection_failure reason) {
        if (const auto connection = weak.lock())
            handleFailure(connection, reason);
    };
    callbacks.closedWhileIdle = [this, weak] {
        if (const auto connection = weak.lock())
            closeConnection(connection);
    };
    made->http = http_connection::open(m_loop, *to, answerLimits, std::move(callbacks));
    made->http->useBudget(m_budget);
    ++m_opened;
    ++m_open[address];
    m_connections[made.get()] = made;
    return made;
}

void server_connections::returnToPool(const connection_pointer& connection)
{
    connection->probe.reset();
    connection->attempt.reset();
    if (!connection->http->isIdle())
        return closeConnection(connection);
    const auto idleLifetime = connection->http->keepAliveTimeout();
    connection->usableUntil = bootNow() + (idleLifetime ? *idleLifetime - idleCloseMargin : defaultIdleLifetime);
    m_idle[connection->address].push_back(connection);
}

void server_connections::closeConnection(const connection_pointer& connection)
{
    connection->probeTimer.reset();
    connection->http->close();
    const auto idle = m_idle.find(connection->address);
    if (idle != m_idle.end()) {
        std::erase(idle->second, connection);
        if (idle->second.empty())
            m_idle.erase(idle);
    }
    if (m_connections.erase(connection.get()) == 0)
        return;
    const auto open = m_open.find(connection->address);
    if (--open->second == 0)
        m_open.erase(open);
}

void server_connections::probe(const coordination::gateway::probe_server& wanted)
{
    const auto connection = acquireConnection(wanted.address, wanted.connectionLimit, {});
    if (!connection) {
        coordination::gateway::probe_finished finished;
        finished.id = wanted.id;
        finished.server = wanted.server;
        finished.outcome = coordination::gateway::probe_outcome::no_connection;
        return m_sink(finished);
    }
    connection->probe = wanted.id;
    connection->server = wanted.server;
    if (!connection->probeTimer)
        connection->probeTimer = makeProbeTimer(connection);
    connection->probeTimer->start(wanted.timeout);
    connection->probeRequest = protocol::writeProbeRequest(wanted.healthPath, wanted.address);
    connection->http->send(connection->probeRequest, { false, maxProbeAnswerBytes, {} });
}

/// Sends the probe again over a new connection if a reused one was closed, since that is not a failure of the server.
bool server_connections::retryProbe(const connection_pointer& failed)
{
    const auto connection = failed->reused ? openConnection(failed->address) : nullptr;
    if (!connection)
        return false;
    connection->probe = failed->probe;
    connection->server = failed->server;
    connection->probeRequest = std::move(failed->probeRequest);
    connection->probeTimer = makeProbeTimer(connection);
    connection->probeTimer->start(probeRetryTimeout);
    connection->http->send(connection->probeRequest, { false, maxProbeAnswerBytes, {} });
    failed->probe.reset();
    closeConnection(failed);
    return true;
}

void server_connections::send(const coordination::gateway::send_request& wanted)
{
    const auto* request = m_requests(wanted.request);
    const auto requestId
        = request != nullptr ? protocol::http::findHeader(*request, m_format.names.requestId).value_or("") : "";
    const auto connection = request != nullptr ? acquireConnection(wanted.address, SIZE_MAX, requestId) : nullptr;
    if (!connection) {
        coordination::gateway::attempt_finished finished;
        finished.id = wanted.id;
        finished.outcome = state::attempt_outcome::connect_failed;
        return m_sink(finished);
    }
    connection->attempt = wanted.id;
    connection->server = wanted.server;
    connection->requestId = requestId;
    m_attempts[static_cast<std::uint64_t>(wanted.id)] = connection;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(wanted.timeRemaining).count();
    connection->http->send(
        protocol::writeServerRequest(m_format, *request, wanted.server, std::max<std::int64_t>(left, 1), wanted.team),
        { request->method == "HEAD", UINT64_MAX, request->memory });
}

void server_connections::cancel(state::attempt_id attempt)
{
    discardAnswer(attempt);
    const auto found = m_attempts.find(static_cast<std::uint64_t>(attempt));
    if (found == m_attempts.end())
        return;
    const auto connection = found->second;
    m_attempts.erase(found);
    closeConnection(connection);
}

protocol::http::message server_connections::takeAnswer(state::attempt_id attempt)
{
    const auto found = m_answers.find(static_cast<std::uint64_t>(attempt));
    if (found == m_answers.end())
        return {};
    auto answer = std::move(found->second);
    m_answers.erase(found);
    return answer;
}

void server_connections::discardAnswer(state::attempt_id attempt)
{
    m_answers.erase(static_cast<std::uint64_t>(attempt));
}

void server_connections::close()
{
    const auto connections = std::exchange(m_connections, {});
    for (const auto& [address, connection] : connections)
        connection->http->close();
    m_idle.clear();
    m_open.clear();
    m_attempts.clear();
}

void server_connections::handleAnswer(const connection_pointer& connection, protocol::http::message answer)
{
    if (connection->probe)
        return finishProbe(connection, answer);
    finishAttempt(connection, std::move(answer));
}

void server_connections::finishProbe(const connection_pointer& connection, const protocol::http::message& answer)
{
    auto finished = protocol::readProbeAnswer(m_format, answer, connection->server);
    finished.id = *connection->probe;
    finished.server = connection->server;
    connection->probeTimer->stop();
    if (finished.outcome == coordination::gateway::probe_outcome::other_server)
        closeConnection(connection);
    else
        returnToPool(connection);
    m_sink(finished);
}

void server_connections::finishAttempt(const connection_pointer& connection, protocol::http::message answer)
{
    auto finished = protocol::readAttemptAnswer(m_format, answer);
    const auto id = *connection->attempt;
    finished.id = id;
    m_attempts.erase(static_cast<std::uint64_t>(id));
    if (finished.outcome == state::attempt_outcome::shed)
        connection->refusedIds.push_back(connection->requestId);
    if (finished.outcome == state::attempt_outcome::mismatched || connection->refusedIds.size() > maxRefusedIds)
        closeConnection(connection);
    else
        returnToPool(connection);
    if (finished.outcome == state::attempt_outcome::answered)
        m_answers[static_cast<std::uint64_t>(id)] = std::move(answer);
    m_sink(finished);
}

void server_connections::handleFailure(const connection_pointer& connection, connection_failure reason)
{
    if (!connection->probe || reason == connection_failure::not_connected || !retryProbe(connection))
        failExchange(connection, reason);
}

/// Closes the connection and reports its exchange in flight as failed.
void server_connections::failExchange(const connection_pointer& connection, connection_failure reason)
{
    const auto probe = std::exchange(connection->probe, std::nullopt);
    const auto attempt = std::exchange(connection->attempt, std::nullopt);
    closeConnection(connection);
    if (probe) {
        coordination::gateway::probe_finished finished;
        finished.id = *probe;
        finished.server = connection->server;
        if (reason == connection_failure::not_connected)
            finished.outcome = coordination::gateway::probe_outcome::refused;
        return m_sink(finished);
    }
    if (!attempt)
        return;
    m_attempts.erase(static_cast<std::uint64_t>(*attempt));
    coordination::gateway::attempt_finished finished;
    finished.id = *attempt;
    finished.outcome = reason == connection_failure::not_connected ? state::attempt_outcome::connect_failed
                                                                   : state::attempt_outcome::cut;
    m_sink(finished);
}

} // namespace acaciaslip::transport::loop
