#pragma once

#include "transport/loop/socket_address.hpp"
#include "transport/loop/timer.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <uv.h>

namespace acaciaslip::transport::loop {

/// Callbacks from a stream to its owner. None is called after `tcp_stream::close`.
struct stream_callbacks {
    std::function<void()> connected; ///< only for a stream created by `connect`
    std::function<void(std::string_view)> received;
    std::function<void()> endOfStream; ///< the peer has shut down its sending side, and not reset the connection before
    std::function<void(int)> failed; ///< takes the libuv error code; the stream is closed
    std::function<void()> drained; ///< all written bytes have been handed to the kernel
};

/// A TCP connection on an event loop. The stream keeps itself alive until the loop has closed it; owners hold a shared
/// pointer and call `close`.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    /// Starts to connect.
    /// \return the stream; already closed if the connection attempt cannot be started
    static std::shared_ptr<tcp_stream> connect(uv_loop_t* loop, const sockaddr_in& to, stream_callbacks callbacks);

    /// Accepts a connection that a listener has reported.
    /// \return the stream, or null if the connection cannot be accepted, such as when it is already gone
    static std::shared_ptr<tcp_stream> accept(uv_stream_t* listener, stream_callbacks callbacks);

    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void startReading();
    void stopReading();

    /// Writes bytes, in the order of the calls. Does nothing on a closed stream.
    /// \param held kept until the bytes have been handed to the kernel or dropped, such as their share of a budget
    void write(std::string bytes, std::shared_ptr<const void> held = {});

    /// Sets whether the connection is reset, instead of being closed in good order, when it is closed while bytes are
    /// unsent, also by the end of the process. Otherwise the peer could take a body that ends with its connection for a
    /// complete one. `shutdownAndClose` clears it once everything has been handed to the operating system.
    void resetWhenCutOff(bool reset);

    /// Shuts down the sending side after all pending writes and closes the connection once the peer has closed its side
    /// or 1 second has passed. After that shutdown only the given callback is called.
    /// \param closed called when the connection is closed
    void shutdownAndClose(std::function<void()> closed = {});

    /// Closes the connection immediately; unsent bytes may be lost.
    void close();

    /// Returns whether the connection is closed or the peer has reset it. Also detects a reset after the peer's end of
    /// stream, when nothing is read any more.
    [[nodiscard]] bool isClosedOrReset() const;

    /// Returns whether a read would not block: bytes, the end of the stream or an error are pending.
    [[nodiscard]] bool hasPendingInput() const;

    /// Returns whether the peer has closed its side after this side's shutdown, so that it has received all bytes.
    [[nodiscard]] bool hasPeerClosed() const noexcept { return m_peerClosed; }

    [[nodiscard]] std::size_t pendingBytes() const noexcept
    {
        return m_unwritten;
    } ///< bytes not yet handed to the kernel

private:
    explicit tcp_stream(uv_loop_t* loop, stream_callbacks callbacks);

    struct write_request;
    void fail(int error);
    void handleWritten(std::size_t bytes, int status);
    void handleEnd();
    [[nodiscard]] int descriptor() const;
    void setOptions();
    void end();

    uv_tcp_t* m_handle;
    stream_callbacks m_callbacks;
    std::size_t m_unwritten = 0;
    bool m_closed = false;
    bool m_peerClosed = false;
    bool m_closesWhenWritten = false; ///< close when all writes have finished
    bool m_isShutDown = false; ///< this side has ended its stream
    std::unique_ptr<timer> m_lingerTimer;
    std::function<void()> m_onClosed;
};

} // namespace acaciaslip::transport::loop
