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

/// Returns a TCP port on the loopback interface on which no socket listens.
[[nodiscard]] int findFreePort();

/// A blocking TCP socket for tests, either a caller's or a server's side, that sends arbitrary bytes.
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
    /// Reads until the text contains `wanted` the given number of times, the stream ends or a read times out.
    /// The read timeout is 10 s; after a timeout the text ends with "[nothing came]".
    [[nodiscard]] std::string readUntil(const std::string& wanted, int times = 1);
    /// Reads until the stream ends or a read times out after 10 s. After a timeout the text ends with
    /// "[nothing came]".
    [[nodiscard]] std::string readToEnd();
    /// Reads a request and its body, whose length is given by Content-Length.
    [[nodiscard]] std::string readRequest();
    void shutdownSending() const;
    void reset();
    void close();

private:
    [[nodiscard]] bool readMore();

    int m_socket;
    std::string m_received;
};

/// A TCP server that serves each connection on a thread of its own by calling a function.
class loop_test_server {
public:
    explicit loop_test_server(std::function<void(raw_socket&)> serve);
    ~loop_test_server();

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

/// Polls until a condition holds.
/// \return whether the condition held within 10 s
[[nodiscard]] inline bool waitUntil(const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds timeout { 10 };
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds { 2 });
    }
    return true;
}

/// Returns the value of a header in a raw request or response, or an empty string if the header is missing.
[[nodiscard]] std::string findHeader(const std::string& text, const std::string& name);

} // namespace acaciaslip::transport
