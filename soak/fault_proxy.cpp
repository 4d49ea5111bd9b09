#include "soak/fault_proxy.hpp"

#include "transport/loop/timer.hpp"

namespace acaciaslip::soak {

using transport::loop::tcp_stream;
using transport::loop::timer;

namespace {

constexpr state::duration chunkDelay = std::chrono::milliseconds { 120 };

} // namespace

/// The client connection and the target connection that belong together.
struct fault_proxy::proxied_connection {
    std::shared_ptr<tcp_stream> client;
    std::shared_ptr<tcp_stream> target;
    std::string unsent; ///< bytes received from the client before the target connection is established
    bool connected = false;

    void close() const
    {
        if (client)
            client->close();
        if (target)
            target->close();
    }
};

fault_proxy::fault_proxy(uv_loop_t* loop, std::string target)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_listener(loop, [this](uv_stream_t* listener) { accept(listener); })
{
    (void)m_listener.listen("127.0.0.1:0");
}

fault_proxy::~fault_proxy()
{
    for (const auto& open : m_connections)
        open->close();
}

std::string fault_proxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_listener.port());
}

void fault_proxy::setFault(proxy_fault fault)
{
    m_fault = fault;
    if (fault != proxy_fault::reset)
        return;
    for (const auto& open : std::exchange(m_connections, {}))
        open->close();
}

void fault_proxy::accept(uv_stream_t* listener)
{
    const auto made = std::make_shared<proxied_connection>();
    const std::weak_ptr<proxied_connection> weak = made;
    const auto callbacks = [this, weak](bool forward) {
        transport::loop::stream_callbacks result;
        result.received = [this, weak, forward](std::string_view bytes) {
            if (const auto connection = weak.lock())
                relay(connection, forward, std::string(bytes));
        };
        const auto end = [this, weak] {
            if (const auto connection = weak.lock()) {
                connection->close();
                m_connections.erase(connection);
            }
        };
        result.endOfStream = end;
        result.failed = [end](int) { end(); };
        return result;
    };
    made->client = tcp_stream::accept(listener, callbacks(true));
    if (!made->client)
        return;
    if (m_fault == proxy_fault::reset)
        return made->close();
    auto targetCallbacks = callbacks(false);
    targetCallbacks.connected = [weak] {
        const auto connection = weak.lock();
        if (!connection)
            return;
        connection->connected = true;
        connection->target->startReading();
        connection->target->write(std::exchange(connection->unsent, {}));
    };
    made->target = tcp_stream::connect(m_loop, *transport::loop::parseAddress(m_target), std::move(targetCallbacks));
    made->client->startReading();
    m_connections.insert(made);
}

void fault_proxy::relay(const std::shared_ptr<proxied_connection>& connection, bool forward, std::string bytes)
{
    if (m_fault == proxy_fault::blackhole || (m_fault == proxy_fault::drop_responses && !forward))
        return;
    const auto write = [connection, forward](std::string chunk) {
        if (forward && !connection->connected)
            connection->unsent += chunk;
        else
            (forward ? connection->target : connection->client)->write(std::move(chunk));
    };
    if (m_fault != proxy_fault::delay)
        return write(std::move(bytes));
    auto* const later = new std::unique_ptr<timer>;
    *later = std::make_unique<timer>(m_loop, [write, bytes = std::move(bytes), later] {
        write(bytes);
        delete later;
    });
    (*later)->start(chunkDelay);
}

} // namespace acaciaslip::soak
