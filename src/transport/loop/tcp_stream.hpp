#pragma once

#include "transport/loop/timer.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <uv.h>

namespace acaciaslip::transport::loop {

/// An IPv4 address and port as the socket calls take it.
/// \param text "ip:port"
/// \return the address, or why it cannot be read
[[nodiscard]] absl::StatusOr<sockaddr_in> parseAddress(const std::string& text);

/// Writes "ip:port".
[[nodiscard]] std::string formatAddress(const sockaddr_in& address);

/// What a stream tells its owner. None of them is called after `tcp_stream::close`.
struct stream_callbacks {
    std::function<void()> connected; ///< of a stream that was made by `connect`
    std::function<void(std::string_view)> received;
    std::function<void()> ended; ///< the other side sends no more
    std::function<void(int)> failed; ///< a libuv error; the stream is of no more use
    std::function<void()> drained; ///< everything that was written has been handed to the system
};

/// One TCP connection of a loop. Keeps itself until the loop has closed it; owners hold it by a shared pointer and
/// call `close`.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    /// Begins to connect.
    /// \return the stream; already closed when it cannot even begin
    static std::shared_ptr<tcp_stream> connect(uv_loop_t* loop, const sockaddr_in& to, stream_callbacks callbacks);

    /// Accepts a connection that a listener announced.
    /// \return the stream, or null when it was gone already
    static std::shared_ptr<tcp_stream> accept(uv_stream_t* listener, stream_callbacks callbacks);

    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void startReading();
    void stopReading();

    /// Writes bytes; after what was written before.
    void write(std::string bytes);

    /// Sends an end after everything written and closes when the other side has done so too. No callback is called
    /// any more but the one given here.
    /// \param closed called once the connection is closed
    void closeWhenWritten(std::function<void()> closed = {});

    /// Closes at once; bytes that are not out yet may be lost.
    void close();

    /// Whether the other side has reset the connection; tells so also after its end, when nothing is read any more.
    [[nodiscard]] bool isReset() const;

    /// Whether something waits to be read: bytes, the other side's end or a reset.
    [[nodiscard]] bool hasUnread() const;

    [[nodiscard]] std::size_t unwritten() const noexcept { return m_unwritten; } ///< bytes not yet with the system

private:
    explicit tcp_stream(uv_loop_t* loop, stream_callbacks callbacks);

    struct write_request;
    void fail(int problem);
    void noteWritten(std::size_t bytes, int status);
    [[nodiscard]] int descriptor() const;
    void setOptions();
    void end();

    uv_tcp_t* m_handle;
    stream_callbacks m_callbacks;
    std::size_t m_unwritten = 0;
    bool m_closed = false;
    bool m_ending = false; ///< closes once everything is written
    std::unique_ptr<timer> m_linger;
    std::function<void()> m_onClosed;
};

} // namespace acaciaslip::transport::loop
