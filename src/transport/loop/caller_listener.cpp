#include "transport/loop/caller_listener.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr int statusUnavailable = 503;

} // namespace

caller_listener::caller_listener(uv_loop_t* loop, listener_callbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_listener(loop, [this](uv_stream_t* listener) { accept(listener); })
{
}

absl::Status caller_listener::listen(const std::string& address)
{
    return m_listener.listen(address);
}

void caller_listener::accept(uv_stream_t* listener)
{
    const auto holder = std::make_shared<std::weak_ptr<caller_connection>>();
    caller_connection_callbacks callbacks;
    callbacks.nextRequestId = [this] { return state::request_id { m_nextRequestId++ }; };
    callbacks.requestReceived = [this, holder](state::request_id id, protocol::http::message request) {
        if (const auto connection = holder->lock())
            m_callbacks.requestReceived(id, connection, std::move(request));
    };
    callbacks.callerDisconnected = m_callbacks.callerDisconnected;
    callbacks.makeRefusal = m_callbacks.makeRefusal;
    callbacks.closed = [this, holder] {
        const auto connection = holder->lock();
        if (!connection)
            return;
        m_connections.erase(connection);
        if (m_callbacks.connectionClosed)
            m_callbacks.connectionClosed(*connection);
    };
    const auto connection = caller_connection::accept(listener, m_limits, std::move(callbacks));
    if (!connection)
        return;
    connection->useBudget(m_budget);
    ++m_accepted;
    *holder = connection;
    m_connections.insert(connection);
    if (m_connections.size() > m_maxConnections)
        connection->refuse(statusUnavailable, "too many connections");
}

void caller_listener::forEach(const std::function<void(caller_connection&)>& call) const
{
    const auto connections = m_connections;
    for (const auto& connection : connections)
        call(*connection);
}

bool caller_listener::isDrained() const
{
    return std::all_of(
        m_connections.begin(), m_connections.end(), [](const auto& connection) { return connection->isDrained(); });
}

void caller_listener::close()
{
    m_listener.close();
    forEach([](caller_connection& connection) { connection.close(); });
}

} // namespace acaciaslip::transport::loop
