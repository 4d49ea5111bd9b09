#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace acaciaslip::transport {

/// Buffered reads and writes on a socket that all end by one deadline.
///
/// A limit for each read alone would never end a peer that sends one byte at a time.
class deadline_stream {
public:
    explicit deadline_stream(int socket) noexcept
        : m_socket(socket)
    {
    }

    /// Sets the instant after which reads and writes fail.
    void setDeadline(state::time_point deadline) noexcept { m_deadline = deadline; }

    /// Waits for more bytes and adds them to what is unread.
    /// \return false at the end of the stream, on a failure or past the deadline
    [[nodiscard]] bool fill();

    /// Bytes that have arrived and are not consumed.
    [[nodiscard]] std::string_view unread() const noexcept { return std::string_view(m_received).substr(m_begin); }

    /// Drops bytes off the front of what is unread.
    void consume(std::size_t count) noexcept { m_begin += count; }

    /// Writes all of it. \return false on a failure or past the deadline; bytesWritten() tells how far it came
    [[nodiscard]] bool write(std::string_view bytes);

    /// Bytes handed to the kernel so far, those of a write that failed half-way included.
    [[nodiscard]] std::uint64_t bytesWritten() const noexcept { return m_bytesWritten; }

    /// Whether a read or write failed because the deadline had passed.
    [[nodiscard]] bool isTimedOut() const noexcept { return m_timedOut; }

private:
    [[nodiscard]] bool waitFor(short events);

    int m_socket;
    state::time_point m_deadline = state::time_point::max();
    std::uint64_t m_bytesWritten = 0;
    bool m_timedOut = false;
    std::size_t m_begin = 0;
    std::string m_received;
};

} // namespace acaciaslip::transport
