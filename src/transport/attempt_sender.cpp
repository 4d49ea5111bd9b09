#include "transport/attempt_sender.hpp"

#include "transport/clock.hpp"
#include "transport/exchange.hpp"

#include <algorithm>
#include <exception>

#include <fmt/format.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t keptShare = 8; ///< one thread in so many is kept for second attempts
constexpr std::size_t cancelThreads = 2;
constexpr std::size_t cancelRingCapacity = 1024;
constexpr std::chrono::milliseconds cancelTimeout { 500 };

coordination::attempt_finished endWith(const coordination::send_attempt& attempt, state::attempt_outcome outcome)
{
    return { attempt.id, outcome, 0, {} };
}

} // namespace

attempt_sender::attempt_sender(
    event_sink events, std::string attemptPrefix, std::size_t threads, const protocol::message_limits& limits)
    : m_events(std::move(events))
    , m_attemptPrefix(std::move(attemptPrefix))
    , m_threads(threads)
    , m_limits(limits)
    , m_cancels("cancel", cancelThreads, cancelRingCapacity,
          [this](const running_pointer& running) { tellCancelled(running); })
    , m_workers("attempt", threads, threads, [this](const running_pointer& running) { carryOut(running); })
{
}

void attempt_sender::send(coordination::send_attempt attempt)
{
    if (!takeThread(attempt)) {
        if (!m_events.tryPost(endWith(attempt, state::attempt_outcome::no_connection))) {
            const std::lock_guard lock(m_mutex);
            m_unsaid.push_back(attempt.id);
        }
        return;
    }
    auto running = std::make_shared<running_attempt>();
    running->id = fmt::format("{}-{}", m_attemptPrefix, static_cast<std::uint64_t>(attempt.id));
    running->attempt = std::move(attempt);
    {
        const std::lock_guard lock(m_mutex);
        m_running[running->attempt.id] = running;
    }
    m_workers.push(std::move(running));
}

void attempt_sender::cancel(const coordination::cancel_attempt& cancelled)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.find(cancelled.id);
    if (found == m_running.end())
        return;
    auto& running = *found->second;
    running.cancelled = true;
    if (!running.connection)
        return;
    running.connection->abort();
    (void)m_cancels.tryPush(found->second);
}

void attempt_sender::stop()
{
    m_workers.stop();
    m_cancels.stop();
}

/// Counts a thread as busy. \return false when none is free for this attempt
bool attempt_sender::takeThread(const coordination::send_attempt& attempt)
{
    const bool isFirst = static_cast<exchange&>(*attempt.body).sends++ == 0;
    const auto most = isFirst ? std::max<std::size_t>(1, m_threads - m_threads / keptShare) : m_threads;
    if (++m_busy <= most)
        return true;
    --m_busy;
    return false;
}

void attempt_sender::carryOut(const running_pointer& running)
{
    auto finished = endWith(running->attempt, state::attempt_outcome::cut);
    try {
        finished = exchangeWith(*running);
    } catch (const std::exception&) { // out of memory, for one: a byte may have been written
        finished.outcome = state::attempt_outcome::cut;
    }
    std::vector<state::attempt_id> unsaid;
    {
        const std::lock_guard lock(m_mutex);
        m_running.erase(running->attempt.id);
        unsaid.swap(m_unsaid);
    }
    --m_busy;
    m_events.post(std::move(finished));
    for (const auto id : unsaid)
        m_events.post(coordination::attempt_finished { id, state::attempt_outcome::no_connection, 0, {} });
}

coordination::attempt_finished attempt_sender::exchangeWith(running_attempt& running)
{
    const auto& attempt = running.attempt;
    auto connection = m_connections.take(attempt.address, attempt.connectionShare, monotonicNow());
    if (!connection)
        return endWith(attempt, state::attempt_outcome::no_connection);
    {
        const std::lock_guard lock(m_mutex);
        running.connection = connection;
    }
    const auto mayWrite = [&] { return !running.cancelled && mayWriteFirstByte(attempt, monotonicNow()); };
    exchange_result result { state::attempt_outcome::cut, {}, true };
    try {
        result = connection->exchange(
            static_cast<const exchange&>(*attempt.body), running.id, mayWrite, attempt.deadline, m_limits);
    } catch (const std::exception&) {
        result.poisoned = true;
    }
    {
        const std::lock_guard lock(m_mutex); // from here on a cancel must not touch the connection
        running.connection.reset();
    }
    m_connections.giveBack(std::move(connection), result.poisoned, monotonicNow());
    auto finished = endWith(attempt, result.outcome);
    if (result.outcome == state::attempt_outcome::cut && running.cancelled)
        finished.outcome = state::attempt_outcome::cancelled;
    if (result.outcome == state::attempt_outcome::connect_failed && running.cancelled)
        finished.outcome = state::attempt_outcome::expired;
    finished.status = result.answer ? result.answer->status : 0;
    finished.answer = std::move(result.answer);
    return finished;
}

/// Tells the server that an attempt is not waited for any more.
void attempt_sender::tellCancelled(const running_pointer& running)
{
    const auto server = parseAddress(running->attempt.address);
    if (!server.ok())
        return;
    httplib::Client client(server->ip, server->port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(cancelTimeout);
    client.set_read_timeout(cancelTimeout);
    (void)client.Post("/acaciaslip/cancel", { { "Acaciaslip-Request", running->id } }, std::string(), "text/plain");
}

} // namespace acaciaslip::transport
