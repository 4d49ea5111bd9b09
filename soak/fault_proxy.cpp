#include "soak/fault_proxy.hpp"

#include "transport/loop/timer.hpp"

namespace acaciaslip::soak {

using transport::loop::tcp_stream;
using transport::loop::timer;

namespace {

constexpr state::duration pieceDelay = std::chrono::milliseconds { 120 };

} // namespace

/// The two connections of one that is proxied.
struct fault_proxy::pair {
    std::shared_ptr<tcp_stream> near;
    std::shared_ptr<tcp_stream> far;
    std::string unsent; ///< before the far side is connected
    bool connected = false;

    void close() const
    {
        if (near)
            near->close();
        if (far)
            far->close();
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
    for (const auto& open : m_pairs)
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
    for (const auto& open : std::exchange(m_pairs, {}))
        open->close();
}

void fault_proxy::accept(uv_stream_t* listener)
{
    const auto made = std::make_shared<pair>();
    const std::weak_ptr<pair> weak = made;
    const auto callbacks = [this, weak](bool forward) {
        transport::loop::stream_callbacks result;
        result.received = [this, weak, forward](std::string_view bytes) {
            if (const auto through = weak.lock())
                pass(through, forward, std::string(bytes));
        };
        const auto end = [this, weak] {
            if (const auto through = weak.lock()) {
                through->close();
                m_pairs.erase(through);
            }
        };
        result.ended = end;
        result.failed = [end](int) { end(); };
        return result;
    };
    made->near = tcp_stream::accept(listener, callbacks(true));
    if (!made->near)
        return;
    if (m_fault == proxy_fault::reset)
        return made->close();
    auto far = callbacks(false);
    far.connected = [weak] {
        const auto through = weak.lock();
        if (!through)
            return;
        through->connected = true;
        through->far->startReading();
        through->far->write(std::exchange(through->unsent, {}));
    };
    made->far = tcp_stream::connect(m_loop, *transport::loop::parseAddress(m_target), std::move(far));
    made->near->startReading();
    m_pairs.insert(made);
}

void fault_proxy::pass(const std::shared_ptr<pair>& through, bool forward, std::string bytes)
{
    if (m_fault == proxy_fault::silence || (m_fault == proxy_fault::one_way && !forward))
        return;
    const auto write = [through, forward](std::string piece) {
        if (forward && !through->connected)
            through->unsent += piece;
        else
            (forward ? through->far : through->near)->write(std::move(piece));
    };
    if (m_fault != proxy_fault::delay)
        return write(std::move(bytes));
    auto* const later = new std::unique_ptr<timer>;
    *later = std::make_unique<timer>(m_loop, [write, bytes = std::move(bytes), later] {
        write(bytes);
        delete later;
    });
    (*later)->start(pieceDelay);
}

} // namespace acaciaslip::soak
