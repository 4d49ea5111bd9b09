#pragma once

#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include <httplib.h>

namespace acaciaslip::transport {

/// A buffered stream over a socket on which every read and write ends by one deadline.
///
/// httplib's own stream limits each read by itself, so that a peer sending one byte at a time is never late.
class deadline_stream final : public httplib::Stream {
public:
    explicit deadline_stream(socket_t socket) noexcept
        : m_socket(socket)
    {
    }

    /// Sets the instant after which reads and writes fail.
    void setDeadline(state::time_point deadline) noexcept { m_deadline = deadline; }

    /// Whether bytes were read that nobody has asked for yet.
    [[nodiscard]] bool hasUnread() const noexcept { return m_begin < m_end; }

    /// Bytes handed to the kernel so far.
    [[nodiscard]] std::uint64_t bytesWritten() const noexcept { return m_bytesWritten; }

    /// Whether a read or write failed because the deadline had passed.
    [[nodiscard]] bool isTimedOut() const noexcept { return m_timedOut; }

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* to, size_t size) override;
    ssize_t write(const char* from, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override { return m_socket; }

private:
    [[nodiscard]] bool waitFor(short events) const;

    static constexpr std::size_t bufferBytes = 16384;

    socket_t m_socket;
    state::time_point m_deadline = state::time_point::max();
    std::uint64_t m_bytesWritten = 0;
    mutable bool m_timedOut = false;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::array<char, bufferBytes> m_buffer;
};

} // namespace acaciaslip::transport
