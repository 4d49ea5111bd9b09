#include "transport/loop/server_connections.hpp"

#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr protocol::http::message_limits answerLimits { 65536, 33554432 };
/// An idle connection is no longer reused once less than this time is left before the server closes it.
constexpr state::duration idleCloseMargin = std::chrono::milliseconds { 800 };
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
    const std::string& address, std::size_t limit)
{
    const auto now = bootNow();
    for (auto idle = m_idle.find(address); idle != m_idle.end(); idle = m_idle.find(address)) {
        auto link = idle->second.back();
        if (now < link->usableUntil) {
            link->reused = true;
            idle->second.pop_back();
            if (idle->second.empty())
                m_idle.erase(idle);
            return link;
        }
        closeConnection(link);
    }
    const auto open = m_open.find(address);
    return open == m_open.end() || open->second < limit ? openConnection(address) : nullptr;
}

std::unique_ptr<timer> server_connections::makeProbeTimer(const connection_pointer& link)
{
    return std::make_unique<timer>(m_loop, [this, weak = std::weak_ptr(link)] {
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
        const auto link = weak.lock();
        if (!link)
            return true;
        return link->probe ? protocol::isProbeAnswer(m_format, answer)
                           : protocol::isRequestAnswer(m_format, answer, link->requestId);
    };
    callbacks.answered = [this, weak](protocol::http::message answer) {
        if (const auto link = weak.lock())
            handleAnswer(link, std::move(answer));
    };
    callbacks.failed = [this, weak](connection_failure reason) {
        if (const auto link = weak.lock())
            handleFailure(link, reason);
    };
    callbacks.closedWhileIdle = [this, weak] {
        if (const auto link = weak.lock())
            closeConnection(link);
    };
    made->http = http_connection::open(m_loop, *to, answerLimits, std::move(callbacks));
    ++m_opened;
    ++m_open[address];
    m_connections[made.get()] = made;
    return made;
}

void server_connections::returnToPool(const connection_pointer& link)
{
    link->probe.reset();
    link->attempt.reset();
    if (!link->http->isIdle())
        return closeConnection(link);
    const auto idleLifetime = link->http->keepAliveTimeout();
    link->usableUntil = bootNow() + (idleLifetime ? *idleLifetime - idleCloseMargin : defaultIdleLifetime);
    m_idle[link->address].push_back(link);
}

void server_connections::closeConnection(const connection_pointer& link)
{
    link->probeTimer.reset();
    link->http->close();
    const auto idle = m_idle.find(link->address);
    if (idle != m_idle.end()) {
        std::erase(idle->second, link);
        if (idle->second.empty())
            m_idle.erase(idle);
    }
    if (m_connections.erase(link.get()) == 0)
        return;
    const auto open = m_open.find(link->address);
    if (--open->second == 0)
        m_open.erase(open);
}

void server_connections::probe(const coordination::gateway::probe_server& wanted)
{
    const auto link = acquireConnection(wanted.address, wanted.connectionLimit);
    if (!link) {
        coordination::gateway::probe_finished finished;
        finished.id = wanted.id;
        finished.server = wanted.server;
        finished.outcome = coordination::gateway::probe_outcome::no_connection;
        return m_sink(finished);
    }
    link->probe = wanted.id;
    link->server = wanted.server;
    if (!link->probeTimer)
        link->probeTimer = makeProbeTimer(link);
    link->probeTimer->start(wanted.timeout);
    link->probeRequest = protocol::writeProbeRequest(wanted.healthPath, wanted.address);
    link->http->send(link->probeRequest, false);
}

/// Sends the probe again over a new connection if a reused one was closed, since that is not a failure of the server.
bool server_connections::retryProbe(const connection_pointer& failed)
{
    const auto link = failed->reused ? openConnection(failed->address) : nullptr;
    if (!link)
        return false;
    link->probe = failed->probe;
    link->server = failed->server;
    link->probeRequest = std::move(failed->probeRequest);
    link->probeTimer = makeProbeTimer(link);
    link->probeTimer->start(probeRetryTimeout);
    link->http->send(link->probeRequest, false);
    failed->probe.reset();
    closeConnection(failed);
    return true;
}

void server_connections::send(const coordination::gateway::send_request& wanted)
{
    const auto* request = m_requests(wanted.request);
    const auto link = request != nullptr ? acquireConnection(wanted.address, SIZE_MAX) : nullptr;
    if (!link) {
        coordination::gateway::attempt_finished finished;
        finished.id = wanted.id;
        finished.outcome = state::attempt_outcome::connect_failed;
        return m_sink(finished);
    }
    link->attempt = wanted.id;
    link->server = wanted.server;
    link->requestId = protocol::http::findHeader(*request, m_format.names.requestId).value_or("");
    m_attempts[static_cast<std::uint64_t>(wanted.id)] = link;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(wanted.timeRemaining).count();
    link->http->send(protocol::writeServerRequest(m_format, *request, wanted.server, std::max<std::int64_t>(left, 1)),
        request->method == "HEAD");
}

void server_connections::cancel(state::attempt_id attempt)
{
    discardAnswer(attempt);
    const auto found = m_attempts.find(static_cast<std::uint64_t>(attempt));
    if (found == m_attempts.end())
        return;
    const auto link = found->second;
    m_attempts.erase(found);
    closeConnection(link);
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
    for (const auto& [address, link] : connections)
        link->http->close();
    m_idle.clear();
    m_open.clear();
    m_attempts.clear();
}

void server_connections::handleAnswer(const connection_pointer& link, protocol::http::message answer)
{
    if (link->probe)
        return finishProbe(link, answer);
    finishAttempt(link, std::move(answer));
}

void server_connections::finishProbe(const connection_pointer& link, const protocol::http::message& answer)
{
    auto finished = protocol::readProbeAnswer(m_format, answer, link->server);
    finished.id = *link->probe;
    finished.server = link->server;
    link->probeTimer->stop();
    if (finished.outcome == coordination::gateway::probe_outcome::other_server)
        closeConnection(link);
    else
        returnToPool(link);
    m_sink(finished);
}

void server_connections::finishAttempt(const connection_pointer& link, protocol::http::message answer)
{
    auto finished = protocol::readAttemptAnswer(m_format, answer);
    const auto id = *link->attempt;
    finished.id = id;
    m_attempts.erase(static_cast<std::uint64_t>(id));
    if (finished.outcome == state::attempt_outcome::mismatched)
        closeConnection(link);
    else
        returnToPool(link);
    if (finished.outcome == state::attempt_outcome::answered)
        m_answers[static_cast<std::uint64_t>(id)] = std::move(answer);
    m_sink(finished);
}

void server_connections::handleFailure(const connection_pointer& link, connection_failure reason)
{
    if (!link->probe || reason == connection_failure::not_connected || !retryProbe(link))
        failExchange(link, reason);
}

/// Closes the connection and reports its exchange in flight as failed.
void server_connections::failExchange(const connection_pointer& link, connection_failure reason)
{
    const auto probe = std::exchange(link->probe, std::nullopt);
    const auto attempt = std::exchange(link->attempt, std::nullopt);
    closeConnection(link);
    if (probe) {
        coordination::gateway::probe_finished finished;
        finished.id = *probe;
        finished.server = link->server;
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
