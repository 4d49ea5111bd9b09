#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace acaciaslip::transport {

/// A TCP port of loopback that nothing listens on.
[[nodiscard]] int findFreePort();

/// A caller, or a server's side of a connection, that sends whatever bytes it is told to.
class raw_socket {
public:
    explicit raw_socket(int socket) noexcept
        : m_socket(socket)
    {
    }
    raw_socket(raw_socket&& other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
    {
    }
    raw_socket& operator=(raw_socket&& other) = delete;
    ~raw_socket() { close(); }

    [[nodiscard]] static raw_socket connect(int port);

    void send(const std::string& bytes) const;
    /// Reads until the text holds `wanted` so many times, the stream ends or seconds have passed.
    [[nodiscard]] std::string readUntil(const std::string& wanted, int times = 1);
    /// Reads until the stream ends or seconds have passed; says so when it does not end.
    [[nodiscard]] std::string readToEnd();
    /// Reads one request with its Content-Length body.
    [[nodiscard]] std::string readRequest();
    void endOutput() const;
    void reset();
    void close();

private:
    [[nodiscard]] bool readMore();

    int m_socket;
    std::string m_received;
};

/// A server whose connections are each served by a function on a thread.
class raw_server {
public:
    explicit raw_server(std::function<void(raw_socket&)> serve);
    ~raw_server();

    [[nodiscard]] int port() const noexcept { return m_port; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] int connections() const noexcept { return m_connections; }

private:
    void run();

    std::function<void(raw_socket&)> m_serve;
    int m_port = 0;
    int m_listener = -1;
    std::atomic<int> m_connections { 0 };
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// Waits until a condition holds. \return whether it did within seconds
[[nodiscard]] inline bool eventually(const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds longest { 10 };
    const auto end = std::chrono::steady_clock::now() + longest;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds { 2 });
    }
    return true;
}

/// The value of a header in a raw request or answer; empty when it is not there.
[[nodiscard]] std::string headerOf(const std::string& text, const std::string& name);

} // namespace acaciaslip::transport
