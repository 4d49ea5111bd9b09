#include "transport/loop/http_fetcher.hpp"

#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr int maxExtensions = 3; ///< of an answer timeout; limits the size of an endless answer

} // namespace

struct http_fetcher::exchange {
    std::shared_ptr<http_connection> connection;
    std::unique_ptr<timer> timeout;
    fetch_timeouts timeouts;
    callback done;
    bool isAnswering = false; ///< `timeout` now measures the answer timeout
    std::uint64_t countedBytes = 0; ///< received when `timeout` was last started
    int extensions = 0; ///< of the answer timeout
};

http_fetcher::http_fetcher(uv_loop_t* loop, protocol::http::message_limits limits)
    : m_loop(loop)
    , m_limits(limits)
{
}

void http_fetcher::fetch(const std::string& address, std::string request, const fetch_timeouts& timeouts, callback done)
{
    const auto to = parseAddress(address);
    if (!to.ok())
        return done({});
    const auto number = m_nextNumber++;
    http_connection_callbacks callbacks;
    callbacks.isExpected = [](const protocol::http::message&) { return true; };
    callbacks.answered = [this, number](protocol::http::message answer) { finish(number, std::move(answer)); };
    callbacks.failed = [this, number](connection_failure) { finish(number, std::nullopt); };
    callbacks.closedWhileIdle = [] {};
    const auto created = std::make_shared<exchange>();
    created->connection = http_connection::open(m_loop, *to, m_limits, std::move(callbacks));
    created->timeout = std::make_unique<timer>(m_loop, [this, number] { handleTimer(number); });
    created->timeouts = timeouts;
    created->done = std::move(done);
    m_inFlight[number] = created;
    created->timeout->start(timeouts.connect);
    created->connection->send(std::move(request));
}

void http_fetcher::handleTimer(std::uint64_t number)
{
    const auto found = m_inFlight.find(number);
    if (found == m_inFlight.end())
        return;
    auto& late = *found->second;
    if (!late.connection->isConnected())
        return finish(number, std::nullopt);
    const auto received = late.connection->receivedBytes();
    const bool progresses
        = late.timeouts.minBytes > 0 && received - std::exchange(late.countedBytes, received) >= late.timeouts.minBytes;
    if (std::exchange(late.isAnswering, true) && !(progresses && late.extensions++ < maxExtensions))
        return finish(number, std::nullopt);
    late.timeout->start(late.timeouts.answer);
}

void http_fetcher::finish(std::uint64_t number, std::optional<protocol::http::message> answer)
{
    const auto found = m_inFlight.find(number);
    if (found == m_inFlight.end())
        return;
    const auto ended = std::move(found->second);
    m_inFlight.erase(found);
    ended->connection->close();
    ended->done({ std::move(answer), ended->connection->receivedBytes() });
}

void http_fetcher::close()
{
    for (const auto& [number, running] : std::exchange(m_inFlight, {}))
        running->connection->close();
}

} // namespace acaciaslip::transport::loop
