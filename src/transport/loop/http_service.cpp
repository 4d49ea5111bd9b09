#include "transport/loop/http_service.hpp"

#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr connection_limits serviceLimits { { 16384, 1048576 }, std::chrono::seconds { 3 },
    std::chrono::seconds { 60 } };

} // namespace

http_service::http_service(uv_loop_t* loop, handler answer)
    : m_answer(std::move(answer))
    , m_listener(loop, [this](uv_stream_t* listener) { accept(listener); })
{
}

absl::Status http_service::listen(const std::string& address)
{
    return m_listener.listen(address);
}

void http_service::accept(uv_stream_t* listener)
{
    const auto holder = std::make_shared<std::weak_ptr<caller_connection>>();
    caller_callbacks callbacks;
    callbacks.number = [] { return state::request_id {}; };
    callbacks.arrived = [this, holder](state::request_id id, const protocol::http::message& request) {
        const auto connection = holder->lock();
        if (!connection)
            return;
        const auto answer = m_answer(request);
        connection->answer(id,
            protocol::http::writeAnswer(answer.status, answer.contentType, answer.body, request.keepAlive),
            !request.keepAlive);
    };
    callbacks.gone = [](state::request_id) {};
    callbacks.closed = [this, holder] {
        if (const auto connection = holder->lock())
            m_connections.erase(connection);
    };
    const auto connection = caller_connection::accept(listener, serviceLimits, std::move(callbacks));
    if (!connection)
        return;
    *holder = connection;
    m_connections.insert(connection);
}

void http_service::close()
{
    m_listener.close();
    const auto connections = m_connections;
    for (const auto& connection : connections)
        connection->close();
}

} // namespace acaciaslip::transport::loop
