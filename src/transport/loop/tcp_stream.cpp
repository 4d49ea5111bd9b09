#include "transport/loop/tcp_stream.hpp"

#include "transport/loop/socket_state.hpp"

#include <array>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr std::size_t readBufferBytes = 65536;
/// Keep-alive: an unresponsive peer is detected after the first probe and two more, within 3 seconds. This is the limit
/// for detecting a lost machine.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbeCount = 2;
constexpr state::duration lingerTimeout = std::chrono::seconds { 1 }; ///< for the peer's close after our shutdown
constexpr unsigned int userTimeoutMilliseconds = 3000; ///< the same 3-second limit while sent bytes are unacknowledged

/// Returns the buffer shared by all reads. An event loop reads one stream at a time, and the owners copy the bytes that
/// they keep.
std::array<char, readBufferBytes>& sharedReadBuffer()
{
    static std::array<char, readBufferBytes> buffer;
    return buffer;
}

void allocate(uv_handle_t* /*handle*/, std::size_t /*suggested*/, uv_buf_t* buffer)
{
    auto& shared = sharedReadBuffer();
    *buffer = uv_buf_init(shared.data(), static_cast<unsigned int>(shared.size()));
}

template <typename Value> void setOption(int socket, int level, int name, Value value)
{
    // An error is ignored: without the option the socket works, but a lost peer is detected later.
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

std::shared_ptr<tcp_stream>& selfOf(void* data)
{
    return *static_cast<std::shared_ptr<tcp_stream>*>(data);
}

} // namespace

/// A pending write.
struct tcp_stream::write_request {
    uv_write_t request {};
    std::string bytes;
    std::shared_ptr<const void> held;
};

tcp_stream::tcp_stream(uv_loop_t* loop, stream_callbacks callbacks)
    : m_handle(new uv_tcp_t {})
    , m_callbacks(std::move(callbacks))
{
    uv_tcp_init(loop, m_handle);
}

tcp_stream::~tcp_stream() = default;

std::shared_ptr<tcp_stream> tcp_stream::connect(uv_loop_t* loop, const sockaddr_in& to, stream_callbacks callbacks)
{
    auto made = std::shared_ptr<tcp_stream>(new tcp_stream(loop, std::move(callbacks)));
    made->m_handle->data = new std::shared_ptr<tcp_stream>(made);
    auto* request = new uv_connect_t {};
    const int status = uv_tcp_connect(
        request, made->m_handle, reinterpret_cast<const sockaddr*>(&to), [](uv_connect_t* done, int result) {
            auto* const handle = done->handle;
            delete done;
            if (result == UV_ECANCELED)
                return;
            const auto self = selfOf(handle->data);
            if (result != 0)
                return self->fail(result);
            self->setOptions();
            if (!self->m_closed && self->m_callbacks.connected)
                self->m_callbacks.connected();
        });
    if (status != 0) {
        delete request;
        made->close();
    }
    return made;
}

std::shared_ptr<tcp_stream> tcp_stream::accept(uv_stream_t* listener, stream_callbacks callbacks)
{
    auto made = std::shared_ptr<tcp_stream>(new tcp_stream(listener->loop, std::move(callbacks)));
    made->m_handle->data = new std::shared_ptr<tcp_stream>(made);
    if (uv_accept(listener, reinterpret_cast<uv_stream_t*>(made->m_handle)) != 0) {
        made->close();
        return nullptr;
    }
    made->setOptions();
    return made;
}

int tcp_stream::descriptor() const
{
    uv_os_fd_t socket = -1;
    // On error the descriptor stays -1, which every socket call rejects.
    (void)uv_fileno(reinterpret_cast<const uv_handle_t*>(m_handle), &socket);
    return socket;
}

bool tcp_stream::isClosedOrReset() const
{
    return m_closed || isSocketClosed(descriptor());
}

bool tcp_stream::hasPendingInput() const
{
    return m_closed || isInputPending(descriptor());
}

void tcp_stream::setOptions()
{
    uv_tcp_nodelay(m_handle, 1);
    const int socket = descriptor();
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbeCount);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMilliseconds);
}

void tcp_stream::resetWhenCutOff(bool reset)
{
    if (!m_closed)
        setOption(descriptor(), SOL_SOCKET, SO_LINGER, linger { reset ? 1 : 0, 0 });
}

void tcp_stream::startReading()
{
    if (m_closed)
        return;
    uv_read_start(reinterpret_cast<uv_stream_t*>(m_handle), allocate,
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
            const auto self = selfOf(stream->data);
            if (self->m_closed || count == 0)
                return;
            if (count == UV_EOF)
                return self->handleEnd();
            if (count < 0)
                return self->fail(static_cast<int>(count));
            self->m_callbacks.received({ buffer->base, static_cast<std::size_t>(count) });
        });
}

void tcp_stream::stopReading()
{
    if (!m_closed)
        uv_read_stop(reinterpret_cast<uv_stream_t*>(m_handle));
}

void tcp_stream::write(std::string bytes, std::shared_ptr<const void> held)
{
    if (m_closed || bytes.empty())
        return;
    if (m_unwritten == 0) {
        const auto buffer = uv_buf_init(bytes.data(), static_cast<unsigned int>(bytes.size()));
        const int written = uv_try_write(reinterpret_cast<uv_stream_t*>(m_handle), &buffer, 1);
        if (written == static_cast<int>(bytes.size()))
            return;
        // An error is reported by the asynchronous write below, after this call has returned.
        if (written > 0)
            bytes.erase(0, static_cast<std::size_t>(written));
    }
    auto* const pending = new write_request { {}, std::move(bytes), std::move(held) };
    m_unwritten += pending->bytes.size();
    pending->request.data = pending;
    const auto buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned int>(pending->bytes.size()));
    const int status = uv_write(
        &pending->request, reinterpret_cast<uv_stream_t*>(m_handle), &buffer, 1, [](uv_write_t* request, int result) {
            auto* const done = static_cast<write_request*>(request->data);
            const auto self = selfOf(request->handle->data);
            const auto size = done->bytes.size();
            delete done;
            self->handleWritten(size, result);
        });
    if (status != 0) { // only if the stream is not connected: the bytes are lost with the connection
        m_unwritten -= pending->bytes.size();
        delete pending;
    }
}

/// Handles an end of stream reported by libuv, which may in fact be a reset: after a read that does not fill its
/// buffer, libuv reports the end without another read if the connection has hung up.
void tcp_stream::handleEnd()
{
    const int reset = findReset(descriptor(), m_isShutDown);
    if (reset != 0)
        return fail(reset);
    m_callbacks.endOfStream();
}

void tcp_stream::handleWritten(std::size_t bytes, int status)
{
    m_unwritten -= bytes;
    if (m_closed)
        return;
    if (status != 0)
        return fail(status);
    if (m_unwritten > 0)
        return;
    if (m_closesWhenWritten)
        return end();
    if (m_callbacks.drained)
        m_callbacks.drained();
}

void tcp_stream::shutdownAndClose(std::function<void()> closed)
{
    if (m_closed) {
        if (closed)
            closed();
        return;
    }
    m_onClosed = std::move(closed);
    m_closesWhenWritten = true;
    if (m_unwritten == 0)
        end();
}

void tcp_stream::end()
{
    resetWhenCutOff(false);
    // Closing a socket with unread bytes would reset the connection, and the peer would lose the data that it has not
    // read yet. Incoming bytes are therefore read and discarded until the peer closes or the linger timeout expires.
    m_lingerTimer = std::make_unique<timer>(m_handle->loop, [self = shared_from_this()] { self->close(); });
    m_lingerTimer->start(lingerTimeout);
    m_callbacks = {};
    m_callbacks.received = [](std::string_view) {};
    m_callbacks.endOfStream = [self = shared_from_this()] {
        self->m_peerClosed = true;
        self->close();
    };
    m_isShutDown = true;
    auto* const request = new uv_shutdown_t {};
    const int status = uv_shutdown(
        request, reinterpret_cast<uv_stream_t*>(m_handle), [](uv_shutdown_t* done, int /*status*/) { delete done; });
    if (status != 0) {
        delete request;
        return close();
    }
    startReading();
}

void tcp_stream::close()
{
    if (std::exchange(m_closed, true))
        return;
    m_lingerTimer.reset();
    uv_close(reinterpret_cast<uv_handle_t*>(m_handle), [](uv_handle_t* closed) {
        auto* const self = static_cast<std::shared_ptr<tcp_stream>*>(closed->data);
        // Breaks a reference cycle: the callbacks may own the owner, which owns this stream.
        (*self)->m_callbacks = {};
        delete self;
        delete reinterpret_cast<uv_tcp_t*>(closed);
    });
    if (const auto closed = std::exchange(m_onClosed, nullptr))
        closed();
}

void tcp_stream::fail(int error)
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    const auto failed = m_callbacks.failed;
    close();
    if (failed)
        failed(error);
}

} // namespace acaciaslip::transport::loop
