#include "transport/loop/attempt_connections.hpp"

#include "protocol/node_http_messages.hpp"
#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr state::duration idleCheckInterval = std::chrono::seconds { 1 };
constexpr protocol::http::message_limits cancelLimits { 8192, 65536 };
/// Short, because a cancel request only saves the server unnecessary work.
constexpr fetch_timeouts cancelTimeouts { std::chrono::milliseconds { 500 }, std::chrono::milliseconds { 500 } };

} // namespace

/// A connection and its current attempt, if any.
struct attempt_connections::pooled_connection {
    std::string address;
    std::shared_ptr<http_connection> http;
    state::time_point idleSince;
    std::optional<coordination::send_attempt> attempt;
    std::string attemptId; ///< the server must echo it in its answer
    std::unique_ptr<timer> deadline;
};

attempt_connections::attempt_connections(
    uv_loop_t* loop, std::string attemptPrefix, const protocol::http::message_limits& limits, event_sink events)
    : m_loop(loop)
    , m_attemptPrefix(std::move(attemptPrefix))
    , m_limits(limits)
    , m_events(std::move(events))
    , m_cancelFetcher(loop, cancelLimits)
    , m_idleTimer(loop, [this] { closeIdle(); })
{
}

attempt_connections::~attempt_connections()
{
    close();
}

void attempt_connections::send(const coordination::send_attempt& attempt)
{
    const auto now = bootNow();
    if (!coordination::mayStartSending(attempt, now))
        return finish(attempt, state::attempt_outcome::expired);
    const auto connection = acquireConnection(attempt);
    if (!connection)
        return finish(attempt, state::attempt_outcome::no_connection);
    connection->attempt = attempt;
    connection->attemptId = fmt::format("{}-{}", m_attemptPrefix, static_cast<std::uint64_t>(attempt.id));
    connection->deadline->start(attempt.deadline - now);
    m_inFlight[attempt.id] = connection;
    const auto& request = static_cast<const protocol::http_payload&>(*attempt.body).httpMessage;
    connection->http->send(protocol::writeAttempt(request, connection->attemptId, attempt.deadline - now),
        { request.method == "HEAD", UINT64_MAX, {} });
}

attempt_connections::connection_pointer attempt_connections::acquireConnection(
    const coordination::send_attempt& attempt)
{
    for (auto found = m_servers.find(attempt.address); found != m_servers.end() && !found->second.idle.empty();
         found = m_servers.find(attempt.address)) {
        auto last = found->second.idle.back();
        if (bootNow() - last->idleSince <= m_maxIdleTime && last->http->isReusable()) {
            found->second.idle.pop_back();
            return last;
        }
        drop(last);
    }
    const auto found = m_servers.find(attempt.address);
    const auto open = found != m_servers.end() ? found->second.open : 0;
    return open < attempt.connectionLimit ? openConnection(attempt.address) : nullptr;
}

attempt_connections::connection_pointer attempt_connections::openConnection(const std::string& address)
{
    const auto to = parseAddress(address);
    if (!to.ok())
        return nullptr;
    auto made = std::make_shared<pooled_connection>();
    made->address = address;
    const auto guarded = [weak = std::weak_ptr(made)](auto call) {
        return [weak, call](auto&&... values) {
            if (const auto connection = weak.lock())
                call(connection, std::forward<decltype(values)>(values)...);
        };
    };
    http_connection_callbacks callbacks;
    callbacks.isExpected = [](const protocol::http::message&) { return true; };
    callbacks.maySend = [weak = std::weak_ptr(made)] {
        const auto connection = weak.lock();
        return connection && connection->attempt && coordination::mayStartSending(*connection->attempt, bootNow());
    };
    callbacks.answered = guarded([this](const connection_pointer& connection, protocol::http::message answer) {
        handleAnswer(connection, std::move(answer));
    });
    callbacks.failed = guarded(
        [this](const connection_pointer& connection, connection_failure reason) { handleFailure(connection, reason); });
    callbacks.closedWhileIdle = guarded([this](const connection_pointer& connection) { drop(connection); });
    made->deadline = std::make_unique<timer>(
        m_loop, guarded([this](const connection_pointer& connection) { handleDeadline(connection); }));
    made->http = http_connection::open(m_loop, *to, m_limits, std::move(callbacks));
    made->http->useBudget(m_budget);
    ++m_servers[address].open;
    return made;
}

void attempt_connections::cancel(state::attempt_id id)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end())
        return;
    const auto connection = found->second;
    if (!connection->http->isConnected())
        return finish(connection, state::attempt_outcome::expired);
    m_cancelFetcher.fetch(connection->address, protocol::writeCancel(connection->address, connection->attemptId),
        cancelTimeouts, [](auto) {});
    finish(connection, state::attempt_outcome::cancelled);
}

void attempt_connections::handleAnswer(const connection_pointer& connection, protocol::http::message answer)
{
    auto finished = protocol::readAttempt(std::move(answer), connection->attemptId);
    finished.id = connection->attempt->id;
    m_inFlight.erase(finished.id);
    if (finished.outcome == state::attempt_outcome::mismatched)
        drop(connection);
    else
        release(connection);
    m_events(std::move(finished));
}

void attempt_connections::handleFailure(const connection_pointer& connection, connection_failure reason)
{
    if (reason == connection_failure::malformed || reason == connection_failure::too_large)
        return finish(connection, state::attempt_outcome::mismatched);
    if (reason == connection_failure::truncated)
        return finish(connection, state::attempt_outcome::cut);
    const bool wasLate = !coordination::mayStartSending(*connection->attempt, bootNow());
    finish(connection, wasLate ? state::attempt_outcome::expired : state::attempt_outcome::connect_failed);
}

void attempt_connections::handleDeadline(const connection_pointer& connection)
{
    if (connection->attempt)
        finish(connection,
            connection->http->isConnected() ? state::attempt_outcome::timed_out
                                            : state::attempt_outcome::connect_failed);
}

/// Ends the connection's attempt without an answer and closes the connection, because a late answer on it could be
/// taken for the answer to the next request.
void attempt_connections::finish(const connection_pointer& connection, state::attempt_outcome outcome)
{
    const auto attempt = *std::exchange(connection->attempt, std::nullopt);
    m_inFlight.erase(attempt.id);
    drop(connection);
    finish(attempt, outcome);
}

void attempt_connections::finish(const coordination::send_attempt& attempt, state::attempt_outcome outcome)
{
    m_events(coordination::attempt_finished { attempt.id, outcome, 0, {} });
}

void attempt_connections::release(const connection_pointer& connection)
{
    connection->attempt.reset();
    connection->deadline->stop();
    if (!connection->http->isIdle())
        return drop(connection);
    connection->idleSince = bootNow();
    m_servers[connection->address].idle.push_back(connection);
    m_idleTimer.start(idleCheckInterval);
}

void attempt_connections::drop(const connection_pointer& connection)
{
    connection->deadline->stop();
    connection->http->close();
    const auto found = m_servers.find(connection->address);
    if (found == m_servers.end())
        return;
    std::erase(found->second.idle, connection);
    if (--found->second.open == 0)
        m_servers.erase(found);
}

/// Closes connections that exceed the maximum idle time, so that none stay open to servers that are no longer used.
void attempt_connections::closeIdle()
{
    std::vector<connection_pointer> old;
    bool more = false;
    for (const auto& [address, pool] : m_servers) {
        for (const auto& connection : pool.idle) {
            if (bootNow() - connection->idleSince > m_maxIdleTime)
                old.push_back(connection);
            else
                more = true;
        }
    }
    for (const auto& connection : old)
        drop(connection);
    if (more)
        m_idleTimer.start(idleCheckInterval);
}

std::size_t attempt_connections::openConnections() const noexcept
{
    std::size_t open = 0;
    for (const auto& [address, pool] : m_servers)
        open += pool.open;
    return open;
}

void attempt_connections::close()
{
    m_cancelFetcher.close();
    m_idleTimer.stop();
    const auto running = std::exchange(m_inFlight, {});
    for (const auto& [id, connection] : running)
        drop(connection);
    const auto servers = std::exchange(m_servers, {});
    for (const auto& [address, pool] : servers) {
        for (const auto& connection : pool.idle)
            connection->http->close();
    }
}

} // namespace acaciaslip::transport::loop
