#include "transport/loop/server_links.hpp"

#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr protocol::http::message_limits answerLimits { 65536, 33554432 };
/// An idle connection is used until this long before the server closes it.
constexpr state::duration closingMargin = std::chrono::milliseconds { 800 };
constexpr state::duration repeatedPatience = std::chrono::milliseconds { 200 }; ///< of a question that is asked anew
/// How long an idle connection is used when the server does not say for how long it keeps it.
constexpr state::duration assumedKept = std::chrono::seconds { 5 };

} // namespace

/// A link and what it is used for.
struct server_links::server_link {
    std::string address;
    std::shared_ptr<http_link> link;
    state::time_point usableUntil;
    std::optional<state::gateway::ask_id> ask;
    std::optional<state::attempt_id> attempt;
    state::host_id server; ///< that is expected at the address
    std::string requestId; ///< that the answer must bear
    std::string question;
    bool reused = false; ///< it has carried an exchange before: the server may have closed it meanwhile
    std::unique_ptr<timer> patience; ///< of a question
};

server_links::server_links(
    uv_loop_t* loop, const protocol::server_dialect& dialect, event_sink sink, request_source requests)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_sink(std::move(sink))
    , m_requests(std::move(requests))
{
}

server_links::link_pointer server_links::takeLink(const std::string& address, std::size_t most)
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
        drop(link);
    }
    const auto open = m_open.find(address);
    return open == m_open.end() || open->second < most ? openLink(address) : nullptr;
}

std::unique_ptr<timer> server_links::makePatience(const link_pointer& link)
{
    return std::make_unique<timer>(m_loop, [this, weak = std::weak_ptr(link)] {
        if (const auto late = weak.lock())
            endExchange(late, link_failure::cut);
    });
}

server_links::link_pointer server_links::openLink(const std::string& address)
{
    const auto to = parseAddress(address);
    if (!to.ok())
        return nullptr;
    auto made = std::make_shared<server_link>();
    made->address = address;
    const std::weak_ptr<server_link> weak = made;
    link_callbacks callbacks;
    callbacks.isAwaited = [this, weak](const protocol::http::message& answer) {
        const auto link = weak.lock();
        if (!link)
            return true;
        return link->ask ? protocol::answersQuestion(m_dialect, answer)
                         : protocol::answersRequest(m_dialect, answer, link->requestId);
    };
    callbacks.answered = [this, weak](protocol::http::message answer) {
        if (const auto link = weak.lock())
            noteAnswer(link, std::move(answer));
    };
    callbacks.failed = [this, weak](link_failure reason) {
        if (const auto link = weak.lock())
            noteFailure(link, reason);
    };
    callbacks.idleClosed = [this, weak] {
        if (const auto link = weak.lock())
            drop(link);
    };
    made->link = http_link::open(m_loop, *to, answerLimits, std::move(callbacks));
    ++m_opened;
    ++m_open[address];
    m_links[made.get()] = made;
    return made;
}

void server_links::keep(const link_pointer& link)
{
    link->ask.reset();
    link->attempt.reset();
    if (!link->link->isIdle())
        return drop(link);
    const auto kept = link->link->keptFor();
    link->usableUntil = bootNow() + (kept ? *kept - closingMargin : assumedKept);
    m_idle[link->address].push_back(link);
}

void server_links::drop(const link_pointer& link)
{
    link->patience.reset();
    link->link->close();
    const auto idle = m_idle.find(link->address);
    if (idle != m_idle.end()) {
        std::erase(idle->second, link);
        if (idle->second.empty())
            m_idle.erase(idle);
    }
    if (m_links.erase(link.get()) == 0)
        return;
    const auto open = m_open.find(link->address);
    if (--open->second == 0)
        m_open.erase(open);
}

void server_links::ask(const coordination::gateway::ask_server& wanted)
{
    const auto link = takeLink(wanted.address, wanted.connectionShare);
    if (!link) {
        coordination::gateway::ask_finished finished;
        finished.id = wanted.id;
        finished.server = wanted.server;
        finished.outcome = coordination::gateway::ask_outcome::no_connection;
        return m_sink(finished);
    }
    link->ask = wanted.id;
    link->server = wanted.server;
    if (!link->patience)
        link->patience = makePatience(link);
    link->patience->start(wanted.patience);
    link->question = protocol::writeQuestion(wanted.healthPath, wanted.address);
    link->link->send(link->question, false);
}

/// Asks again over a new connection when a kept one turned out to be closed: that says nothing about the server.
bool server_links::askAnew(const link_pointer& failed)
{
    const auto link = failed->reused ? openLink(failed->address) : nullptr;
    if (!link)
        return false;
    link->ask = failed->ask;
    link->server = failed->server;
    link->question = std::move(failed->question);
    link->patience = makePatience(link);
    link->patience->start(repeatedPatience);
    link->link->send(link->question, false);
    failed->ask.reset();
    drop(failed);
    return true;
}

void server_links::send(const coordination::gateway::send_request& wanted)
{
    const auto* request = m_requests(wanted.request);
    const auto link = request != nullptr ? takeLink(wanted.address, SIZE_MAX) : nullptr;
    if (!link) {
        coordination::gateway::attempt_finished finished;
        finished.id = wanted.id;
        finished.outcome = state::attempt_outcome::connect_failed;
        return m_sink(finished);
    }
    link->attempt = wanted.id;
    link->server = wanted.server;
    link->requestId = protocol::http::findHeader(*request, m_dialect.names.requestId).value_or("");
    m_attempts[static_cast<std::uint64_t>(wanted.id)] = link;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(wanted.timeLeft).count();
    link->link->send(protocol::writeServerRequest(m_dialect, *request, wanted.server, std::max<std::int64_t>(left, 1)),
        request->method == "HEAD");
}

void server_links::cancel(state::attempt_id attempt)
{
    dropAnswer(attempt);
    const auto found = m_attempts.find(static_cast<std::uint64_t>(attempt));
    if (found == m_attempts.end())
        return;
    const auto link = found->second;
    m_attempts.erase(found);
    drop(link);
}

protocol::http::message server_links::takeAnswer(state::attempt_id attempt)
{
    const auto found = m_answers.find(static_cast<std::uint64_t>(attempt));
    if (found == m_answers.end())
        return {};
    auto answer = std::move(found->second);
    m_answers.erase(found);
    return answer;
}

void server_links::dropAnswer(state::attempt_id attempt)
{
    m_answers.erase(static_cast<std::uint64_t>(attempt));
}

void server_links::close()
{
    const auto links = std::exchange(m_links, {});
    for (const auto& [address, link] : links)
        link->link->close();
    m_idle.clear();
    m_open.clear();
    m_attempts.clear();
}

void server_links::noteAnswer(const link_pointer& link, protocol::http::message answer)
{
    if (link->ask)
        return finishAsk(link, answer);
    finishAttempt(link, std::move(answer));
}

void server_links::finishAsk(const link_pointer& link, const protocol::http::message& answer)
{
    auto finished = protocol::readAskAnswer(m_dialect, answer, link->server);
    finished.id = *link->ask;
    finished.server = link->server;
    link->patience->stop();
    if (finished.outcome == coordination::gateway::ask_outcome::other_server)
        drop(link);
    else
        keep(link);
    m_sink(finished);
}

void server_links::finishAttempt(const link_pointer& link, protocol::http::message answer)
{
    auto finished = protocol::readAttemptAnswer(m_dialect, answer);
    const auto id = *link->attempt;
    finished.id = id;
    m_attempts.erase(static_cast<std::uint64_t>(id));
    if (finished.outcome == state::attempt_outcome::mismatched)
        drop(link);
    else
        keep(link);
    if (finished.outcome == state::attempt_outcome::answered)
        m_answers[static_cast<std::uint64_t>(id)] = std::move(answer);
    m_sink(finished);
}

void server_links::noteFailure(const link_pointer& link, link_failure reason)
{
    if (!link->ask || reason == link_failure::not_connected || !askAnew(link))
        endExchange(link, reason);
}

/// Tells that the exchange under way has no answer.
void server_links::endExchange(const link_pointer& link, link_failure reason)
{
    const auto ask = std::exchange(link->ask, std::nullopt);
    const auto attempt = std::exchange(link->attempt, std::nullopt);
    drop(link);
    if (ask) {
        coordination::gateway::ask_finished finished;
        finished.id = *ask;
        finished.server = link->server;
        return m_sink(finished);
    }
    if (!attempt)
        return;
    m_attempts.erase(static_cast<std::uint64_t>(*attempt));
    coordination::gateway::attempt_finished finished;
    finished.id = *attempt;
    finished.outcome
        = reason == link_failure::not_connected ? state::attempt_outcome::connect_failed : state::attempt_outcome::cut;
    m_sink(finished);
}

} // namespace acaciaslip::transport::loop
