#pragma once

#include "transport/loop/loop_fixture.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaslip::transport::loop {

inline std::string repeat(std::string_view text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

/// An answer whose bytes do not end.
struct endless_answer {
    const char* what;
    std::string start;
    std::string repeated;
};

inline const std::string answerStart = "HTTP/1.1 200 OK\r\nAcaciaslip-Request: r1\r\nAcaciaslip-Server: s1\r\n";

inline std::vector<endless_answer> endlessAnswers()
{
    const std::string chunked = answerStart + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "no HTTP", "", "garbage" },
        { "status line", "HTTP/1.1 ", "2" },
        { "reason phrase", "HTTP/1.1 200 ", "x" },
        { "header line", "HTTP/1.1 200 OK\r\nA: ", "x" },
        { "header block", "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
        { "body until close", answerStart + "\r\n", "x" },
        { "body with a length", answerStart + "Content-Length: 60000000\r\n\r\n", "x" },
        { "chunked body", chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n" },
        { "chunks of one byte", chunked, "1\r\nx\r\n" },
        { "chunk size", chunked, "0" },
        { "chunk extension", chunked + "1;", "x" },
        { "trailers", chunked + "0\r\n", "A: b\r\n" },
        { "interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { "answers to other requests", "",
            "HTTP/1.1 200 OK\r\nAcaciaslip-Request: other\r\nContent-Length: 1\r\n\r\nx" },
    };
}

/// A server that sends an endless answer on each of its connections, at full speed or a byte at a time.
class endless_server {
public:
    explicit endless_server(uv_loop_t* loop)
        : m_server(loop)
        , m_pump(loop, [this] { pump(); })
    {
        m_pump.start(std::chrono::milliseconds { 1 });
    }
    ~endless_server() { m_pump.stop(); }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    void serve(const endless_answer& answer)
    {
        m_sending.clear();
        m_repeated = repeat(answer.repeated, 65536); // NOLINT: one read
        m_server.onReceived = [this, answer](test_connection& end) {
            end.received.clear();
            end.stream->write(answer.start);
            m_sending.insert(end.stream);
        };
    }

    /// Answers each request with these bytes and closes the connection properly.
    void answerAndClose(const std::string& bytes)
    {
        m_sending.clear();
        m_server.onReceived = [bytes](test_connection& end) {
            end.received.clear();
            end.stream->write(bytes);
            end.stream->shutdownAndClose();
        };
    }

    /// From now on, one byte is sent on each connection in this time.
    void sendSlowly(state::duration byteInterval) { m_byteInterval = byteInterval; }

    [[nodiscard]] bool isEveryConnectionClosed() const
    {
        return std::all_of(
            m_sending.begin(), m_sending.end(), [](const auto& stream) { return stream->isClosedOrReset(); });
    }

    [[nodiscard]] std::string address() const { return m_server.address(); }
    [[nodiscard]] int port() const { return m_server.port(); }

private:
    /// Keeps every connection full, or adds a byte to each.
    void pump()
    {
        for (const auto& stream : m_sending) {
            if (m_byteInterval > state::duration::zero() && !stream->isClosedOrReset())
                stream->write(m_repeated.substr(m_sent % m_repeated.size(), 1));
            while (m_byteInterval == state::duration::zero() && !stream->isClosedOrReset()
                && stream->pendingBytes() < 4 * m_repeated.size())
                stream->write(m_repeated);
        }
        ++m_sent;
        m_pump.start(std::max<state::duration>(m_byteInterval, std::chrono::milliseconds { 1 }));
    }

    loop_test_server m_server;
    std::set<std::shared_ptr<tcp_stream>> m_sending;
    std::string m_repeated;
    state::duration m_byteInterval {};
    std::size_t m_sent = 0;
    timer m_pump;
};

} // namespace acaciaslip::transport::loop
