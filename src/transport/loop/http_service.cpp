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
              [](state::request_id) {}, {} })
{
    m_listener.setLimits(makeServiceLimits());
}

void http_service::handleRequest(
    state::request_id id, const std::shared_ptr<caller_connection>& from, const protocol::http::message& request)
{
    m_answer(request, [id, weak = std::weak_ptr(from), keepAlive = request.keepAlive](const service_answer& answer) {
        if (const auto connection = weak.lock())
            connection->answer(
                id, protocol::http::writeAnswer(answer.status, answer.contentType, answer.body, keepAlive), !keepAlive);
    });
}

} // namespace acaciaslip::transport::loop
