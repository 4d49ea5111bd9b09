#include "transport/loop/attempt_links.hpp"

#include "protocol/node_dialect.hpp"
#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr state::duration idleCheckInterval = std::chrono::seconds { 1 };
constexpr protocol::http::message_limits cancelLimits { 8192, 65536 };
/// Short, because a cancel request only saves the server unnecessary work.
constexpr fetch_patience cancelTimeouts { std::chrono::milliseconds { 500 }, std::chrono::milliseconds { 500 } };

} // namespace

/// A connection and its current attempt, if any.
struct attempt_links::server_link {
    std::string address;
    std::shared_ptr<http_link> link;
    state::time_point idleSince;
    std::optional<coordination::send_attempt> attempt;
    std::string attemptId; ///< the server must echo it in its answer
    std::unique_ptr<timer> deadline;
};

attempt_links::attempt_links(
    uv_loop_t* loop, std::string attemptPrefix, const protocol::http::message_limits& limits, event_sink events)
    : m_loop(loop)
    , m_attemptPrefix(std::move(attemptPrefix))
    , m_limits(limits)
    , m_events(std::move(events))
    , m_cancelFetcher(loop, cancelLimits)
    , m_idleTimer(loop, [this] { closeIdle(); })
{
}

attempt_links::~attempt_links()
{
    close();
}

void attempt_links::send(const coordination::send_attempt& attempt)
{
    const auto now = bootNow();
    if (!coordination::mayWriteFirstByte(attempt, now))
        return finish(attempt, state::attempt_outcome::expired);
    const auto link = acquireLink(attempt);
    if (!link)
        return finish(attempt, state::attempt_outcome::no_connection);
    link->attempt = attempt;
    link->attemptId = fmt::format("{}-{}", m_attemptPrefix, static_cast<std::uint64_t>(attempt.id));
    link->deadline->start(attempt.deadline - now);
    m_inFlight[attempt.id] = link;
    const auto& request = static_cast<const protocol::http_payload&>(*attempt.body).message;
    link->link->send(
        protocol::writeAttempt(request, link->attemptId, attempt.deadline - now), request.method == "HEAD");
}

attempt_links::link_pointer attempt_links::acquireLink(const coordination::send_attempt& attempt)
{
    for (auto found = m_servers.find(attempt.address); found != m_servers.end() && !found->second.idle.empty();
         found = m_servers.find(attempt.address)) {
        auto last = found->second.idle.back();
        if (bootNow() - last->idleSince <= m_maxIdleTime && last->link->isReusable()) {
            found->second.idle.pop_back();
            return last;
        }
        drop(last);
    }
    const auto found = m_servers.find(attempt.address);
    const auto open = found != m_servers.end() ? found->second.open : 0;
    return open < attempt.connectionShare ? openLink(attempt.address) : nullptr;
}

attempt_links::link_pointer attempt_links::openLink(const std::string& address)
{
    const auto to = parseAddress(address);
    if (!to.ok())
        return nullptr;
    auto made = std::make_shared<server_link>();
    made->address = address;
    const auto guarded = [weak = std::weak_ptr(made)](auto call) {
        return [weak, call](auto&&... values) {
            if (const auto link = weak.lock())
                call(link, std::forward<decltype(values)>(values)...);
        };
    };
    link_callbacks callbacks;
    callbacks.isAwaited = [](const protocol::http::message&) { return true; };
    callbacks.mayBegin = [weak = std::weak_ptr(made)] {
        const auto link = weak.lock();
        return link && link->attempt && coordination::mayWriteFirstByte(*link->attempt, bootNow());
    };
    callbacks.answered = guarded(
        [this](const link_pointer& link, protocol::http::message answer) { handleAnswer(link, std::move(answer)); });
    callbacks.failed = guarded([this](const link_pointer& link, link_failure reason) { handleFailure(link, reason); });
    callbacks.idleClosed = guarded([this](const link_pointer& link) { drop(link); });
    made->deadline
        = std::make_unique<timer>(m_loop, guarded([this](const link_pointer& link) { handleDeadline(link); }));
    made->link = http_link::open(m_loop, *to, m_limits, std::move(callbacks));
    ++m_servers[address].open;
    return made;
}

void attempt_links::cancel(state::attempt_id id)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end())
        return;
    const auto link = found->second;
    if (!link->link->isConnected())
        return finish(link, state::attempt_outcome::expired);
    m_cancelFetcher.fetch(
        link->address, protocol::writeCancel(link->address, link->attemptId), cancelTimeouts, [](auto) {});
    finish(link, state::attempt_outcome::cancelled);
}

void attempt_links::handleAnswer(const link_pointer& link, protocol::http::message answer)
{
    auto finished = protocol::readAttempt(std::move(answer), link->attemptId);
    finished.id = link->attempt->id;
    m_inFlight.erase(finished.id);
    if (finished.outcome == state::attempt_outcome::mismatched)
        drop(link);
    else
        release(link);
    m_events(std::move(finished));
}

void attempt_links::handleFailure(const link_pointer& link, link_failure reason)
{
    if (reason == link_failure::malformed)
        return finish(link, state::attempt_outcome::mismatched);
    if (reason == link_failure::cut)
        return finish(link, state::attempt_outcome::cut);
    const bool wasLate = !coordination::mayWriteFirstByte(*link->attempt, bootNow());
    finish(link, wasLate ? state::attempt_outcome::expired : state::attempt_outcome::connect_failed);
}

void attempt_links::handleDeadline(const link_pointer& link)
{
    if (link->attempt)
        finish(link,
            link->link->isConnected() ? state::attempt_outcome::timed_out : state::attempt_outcome::connect_failed);
}

/// Ends the connection's attempt without an answer and closes the connection, because a late answer on it could be
/// taken for the answer to the next request.
void attempt_links::finish(const link_pointer& link, state::attempt_outcome outcome)
{
    const auto attempt = *std::exchange(link->attempt, std::nullopt);
    m_inFlight.erase(attempt.id);
    drop(link);
    finish(attempt, outcome);
}

void attempt_links::finish(const coordination::send_attempt& attempt, state::attempt_outcome outcome)
{
    m_events(coordination::attempt_finished { attempt.id, outcome, 0, {} });
}

void attempt_links::release(const link_pointer& link)
{
    link->attempt.reset();
    link->deadline->stop();
    if (!link->link->isIdle())
        return drop(link);
    link->idleSince = bootNow();
    m_servers[link->address].idle.push_back(link);
    m_idleTimer.start(idleCheckInterval);
}

void attempt_links::drop(const link_pointer& link)
{
    link->deadline->stop();
    link->link->close();
    const auto found = m_servers.find(link->address);
    if (found == m_servers.end())
        return;
    std::erase(found->second.idle, link);
    if (--found->second.open == 0)
        m_servers.erase(found);
}

/// Closes connections that exceed the maximum idle time, so that none stay open to servers that are no longer used.
void attempt_links::closeIdle()
{
    std::vector<link_pointer> old;
    bool more = false;
    for (const auto& [address, links] : m_servers) {
        for (const auto& link : links.idle) {
            if (bootNow() - link->idleSince > m_maxIdleTime)
                old.push_back(link);
            else
                more = true;
        }
    }
    for (const auto& link : old)
        drop(link);
    if (more)
        m_idleTimer.start(idleCheckInterval);
}

std::size_t attempt_links::openConnections() const noexcept
{
    std::size_t open = 0;
    for (const auto& [address, links] : m_servers)
        open += links.open;
    return open;
}

void attempt_links::close()
{
    m_cancelFetcher.close();
    m_idleTimer.stop();
    const auto running = std::exchange(m_inFlight, {});
    for (const auto& [id, link] : running)
        drop(link);
    const auto servers = std::exchange(m_servers, {});
    for (const auto& [address, links] : servers) {
        for (const auto& link : links.idle)
            link->link->close();
    }
}

} // namespace acaciaslip::transport::loop
