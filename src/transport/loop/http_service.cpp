#include "transport/loop/http_service.hpp"

#include <utility>

namespace acaciaslip::transport::loop {

namespace {

connection_limits makeServiceLimits()
{
    connection_limits limits;
    limits.message.headBytes = 16384;
    limits.message.bodyBytes = 1048576;
    limits.idleTimeout = std::chrono::seconds { 60 };
    return limits;
}

} // namespace

http_service::http_service(uv_loop_t* loop, handler answer)
    : m_answer(std::move(answer))
    , m_listener(loop,
          { [this](auto id, const auto& from, const auto& request) { handleRequest(id, from, request); },
              [](state::request_id) {}, {}, [this](const auto& connection) { handleClosed(connection); } })
{
    m_listener.setLimits(makeServiceLimits());
}

http_service::reply::reply(http_service& owner, state::request_id id, const std::shared_ptr<caller_connection>& to)
    : m_owner(&owner)
    , m_id(id)
    , m_connection(to)
{
}

void http_service::reply::operator()(const service_answer& answer) const
{
    if (const auto connection = m_connection.lock())
        connection->answer(
            m_id,
            [&](bool keepAlive) {
                return protocol::http::writeAnswer(answer.status, answer.contentType, answer.body, keepAlive);
            },
            connection_persistence::keep_alive);
}

void http_service::reply::whenClosed(std::function<void(bool isComplete)> closed) const
{
    if (const auto connection = m_connection.lock())
        m_owner->m_closed[connection.get()] = std::move(closed);
    else
        closed(false);
}

void http_service::handleRequest(
    state::request_id id, const std::shared_ptr<caller_connection>& from, const protocol::http::message& request)
{
    m_answer(request, reply { *this, id, from });
}

void http_service::handleClosed(const caller_connection& connection)
{
    const auto closed = m_closed.extract(&connection);
    if (!closed.empty())
        closed.mapped()(connection.hasReceivedAll());
}

} // namespace acaciaslip::transport::loop
