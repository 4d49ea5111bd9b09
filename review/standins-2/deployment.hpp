#pragma once

// A small deployment on loopback addresses for the cases 6 to 10: the platform's store, backends, clients and the
// gateways, which run as separate processes. The store, the backends and the clients are threads of this process.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline const steady::time_point processStart = steady::now();

/// Milliseconds since the start of the case.
inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(steady::now() - processStart).count();
}

inline void sleepMs(double ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void sleepUntil(double atMs)
{
    sleepMs(atMs - nowMs());
}

// The record of a case: one line for each thing that was sent, answered or run.

inline std::FILE* recordFile = nullptr;
inline std::mutex recordMutex;

__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...)
{
    const std::lock_guard lock(recordMutex);
    if (recordFile == nullptr)
        return;
    std::fprintf(recordFile, "%9.1f ", nowMs());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

// Sockets

inline sockaddr_in makeAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// \return -1 if the address cannot be used
inline int listenOn(const std::string& ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = makeAddress(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// Different ports that are free on all loopback addresses at this moment.
inline std::vector<int> findFreePorts(std::size_t count)
{
    std::vector<int> sockets;
    std::vector<int> ports;
    while (ports.size() < count) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = makeAddress("0.0.0.0", 0);
        socklen_t size = sizeof address;
        ::bind(fd, reinterpret_cast<const sockaddr*>(&address), size);
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        sockets.push_back(fd);
        ports.push_back(ntohs(address.sin_port));
    }
    for (const int fd : sockets)
        ::close(fd);
    return ports;
}

/// \param receiveBufferBytes bounds what may arrive before the client reads; 0: the system's default
inline int connectTo(const std::string& ip, int port, int timeoutMs = 1000, int receiveBufferBytes = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receiveBufferBytes > 0)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    const auto address = makeAddress(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        pollfd waiting { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, timeoutMs) != 1
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline void resetConnection(int fd)
{
    const linger now { 1, 0 };
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(fd, SHUT_RDWR);
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// HTTP messages

struct message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< the whole message was read
    bool closed = false; ///< the connection ended before or with the message
    bool reset = false; ///< likewise, by a reset

    [[nodiscard]] std::optional<std::string> header(const char* name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return std::nullopt;
    }
    [[nodiscard]] int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
    [[nodiscard]] std::string target() const
    {
        const auto first = startLine.find(' ');
        const auto last = startLine.rfind(' ');
        return first == std::string::npos || last <= first ? "" : startLine.substr(first + 1, last - first - 1);
    }
    [[nodiscard]] std::string method() const { return startLine.substr(0, startLine.find(' ')); }
};

/// Reads messages from one connection; keeps what has arrived beyond the current one.
class reader {
public:
    explicit reader(int fd)
        : m_fd(fd)
    {
    }

    /// \param deadlineMs when to give up; the message is then neither complete nor closed
    message read(double deadlineMs)
    {
        message got;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadlineMs, got))
                return got;
        }
        parseHead(m_buffer.substr(0, end), got);
        m_buffer.erase(0, end + 4);
        if (got.startLine.rfind("HTTP/", 0) == 0 && got.status() < 200)
            return read(deadlineMs); // an interim answer
        const auto length = got.header("Content-Length");
        const bool isAnswer = got.startLine.rfind("HTTP/", 0) == 0;
        const bool untilClose = isAnswer && !length && !got.header("Transfer-Encoding");
        const std::size_t wanted = length ? std::strtoul(length->c_str(), nullptr, 10) : 0;
        while (untilClose || m_buffer.size() < wanted) {
            if (fill(deadlineMs, got))
                continue;
            if (!untilClose || !got.closed || got.reset)
                return got;
            got.body = std::move(m_buffer);
            m_buffer.clear();
            got.complete = true;
            return got;
        }
        got.body = m_buffer.substr(0, wanted);
        m_buffer.erase(0, wanted);
        got.complete = true;
        return got;
    }

private:
    bool fill(double deadlineMs, message& got)
    {
        for (;;) {
            const double left = deadlineMs - nowMs();
            if (left <= 0)
                return false;
            pollfd waiting { m_fd, POLLIN, 0 };
            const int ready = ::poll(&waiting, 1, static_cast<int>(std::min(left + 1, 1000.0)));
            if (ready == 0)
                continue;
            char bytes[16384];
            const auto count = ::recv(m_fd, bytes, sizeof bytes, 0);
            if (count <= 0) {
                got.closed = true;
                got.reset = count < 0;
                return false;
            }
            m_buffer.append(bytes, static_cast<std::size_t>(count));
            return true;
        }
    }

    static void parseHead(const std::string& head, message& got)
    {
        std::size_t at = 0;
        while (at <= head.size()) {
            const auto end = std::min(head.find("\r\n", at), head.size());
            const auto line = head.substr(at, end - at);
            at = end + 2;
            if (got.startLine.empty()) {
                got.startLine = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto start = line.find_first_not_of(" \t", colon + 1);
            got.headers.emplace_back(line.substr(0, colon), start == std::string::npos ? "" : line.substr(start));
        }
    }

    int m_fd;
    std::string m_buffer;
};

/// A listening socket with a thread for each connection.
class listener {
public:
    using handler = std::function<void(int fd)>;

    bool start(const std::string& ip, int port, handler handle)
    {
        m_handle = std::move(handle);
        m_fd = listenOn(ip, port);
        if (m_fd < 0)
            return false;
        m_stopped = false;
        m_acceptor = std::thread([this] { accept(); });
        return true;
    }

    /// Ends all connections, as the end of a process or a lost path does.
    void endConnections(bool withReset)
    {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            if (withReset)
                resetConnection(fd);
            else
                ::shutdown(fd, SHUT_RDWR);
        }
    }

    void stop(bool withReset = false)
    {
        if (m_fd < 0)
            return;
        m_stopped = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_fd);
        m_fd = -1;
        endConnections(withReset);
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_open.empty())
                    return;
            }
            sleepMs(2);
        }
    }

    ~listener() { stop(); }

private:
    void accept()
    {
        while (!m_stopped) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopped)
                    return;
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                m_handle(fd);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                ::close(fd);
            }).detach();
        }
    }

    handler m_handle;
    int m_fd = -1;
    std::atomic<bool> m_stopped { false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
};

// The platform's store

inline std::string encodeBase64(const std::string& text)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        unsigned int bits = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            bits = bits << 8U | (at + offset < text.size() ? static_cast<unsigned char>(text[at + offset]) : 0U);
        for (std::size_t offset = 0; offset < 4; ++offset)
            encoded += at + offset <= text.size() ? digits[bits >> (18 - 6 * offset) & 63U] : '=';
    }
    return encoded;
}

inline std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else
            decoded += text[at];
    }
    return decoded;
}

inline std::string parameter(const std::string& target, const std::string& name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.rfind(name + "=", 0) == 0)
            return decodePercent(pair.substr(name.size() + 1));
        at = end;
    }
    return "";
}

/// The store listens on one address for each machine, so that the path of a single machine can be cut.
class store {
public:
    bool listen(const std::string& machine, const std::string& ip, int port)
    {
        auto& path = m_paths[machine];
        return path.listening.start(ip, port, [this, &path](int fd) { serve(path, fd); });
    }

    /// Ends the address of a machine: connections are closed, and new ones are refused.
    void endPath(const std::string& machine)
    {
        auto& path = m_paths.at(machine);
        path.ended = true;
        m_changed.notify_all();
        path.listening.stop();
    }

    /// \return the time of the store's ack
    double put(const std::string& key, const std::string& value)
    {
        {
            const std::lock_guard lock(m_mutex);
            auto& known = m_items[key];
            known.value = value;
            known.revision = ++m_revision;
            if (known.created == 0)
                known.created = m_revision;
            m_log[m_revision] = key;
        }
        m_changed.notify_all();
        return nowMs();
    }

    /// \return the time of the store's ack
    double remove(const std::string& key)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_items.erase(key);
            m_log[++m_revision] = key;
        }
        m_changed.notify_all();
        return nowMs();
    }

    void stop()
    {
        m_stopped = true;
        m_changed.notify_all();
        for (auto& [machine, path] : m_paths)
            path.listening.stop();
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct path {
        std::atomic<bool> ended { false };
        listener listening;
    };

    std::string describe(const std::string& key) const
    {
        const auto found = m_items.find(key);
        return "{\"key\":\"" + key + "\",\"value\":\"" + encodeBase64(found->second.value)
            + "\",\"revision\":" + std::to_string(found->second.revision)
            + ",\"created\":" + std::to_string(found->second.created) + ",\"lease\":0}";
    }

    std::string list(const std::string& target)
    {
        constexpr int pageItems = 50;
        const auto prefix = parameter(target, "path-prefix");
        const auto after = parameter(target, "after");
        const std::lock_guard lock(m_mutex);
        std::string items;
        int count = 0;
        bool more = false;
        for (const auto& [key, value] : m_items) {
            if (key.rfind(prefix, 0) != 0 || key <= after)
                continue;
            if (count++ == pageItems) {
                more = true;
                break;
            }
            items += (items.empty() ? "" : ",") + describe(key);
        }
        return "{\"items\":[" + items + "],\"has-more\":" + (more ? "true" : "false")
            + ",\"as-of\":" + std::to_string(m_revision) + "}";
    }

    std::string watch(path& from, const std::string& target)
    {
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto waitMs = std::strtod(parameter(target, "wait-ms").c_str(), nullptr);
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(waitMs),
            [&] { return m_revision > after || m_stopped || from.ended; });
        std::map<std::string, std::uint64_t> latest;
        for (auto event = m_log.upper_bound(after); event != m_log.end(); ++event)
            latest[event->second] = event->first;
        std::string events;
        for (const auto& [key, revision] : latest)
            events += (events.empty() ? "" : ",")
                + (m_items.count(key) > 0
                        ? describe(key)
                        : "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(revision) + ",\"compacted\":true}");
        return "{\"events\":[" + events + "],\"as-of\":" + std::to_string(m_revision) + "}";
    }

    void serve(path& from, int fd)
    {
        reader input(fd);
        while (!m_stopped && !from.ended) {
            const auto request = input.read(nowMs() + 60000);
            if (!request.complete)
                return;
            const auto target = request.target();
            const auto body = target.rfind("/kv-watch", 0) == 0 ? watch(from, target) : list(target);
            if (!sendAll(fd,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::map<std::string, path> m_paths;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::uint64_t, std::string> m_log; ///< key by revision
    std::uint64_t m_revision = 0;
    std::atomic<bool> m_stopped { false };
};

// Backends

struct backend_options {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int port = 0;
    int slots = 4;
    double workMs = 220;
    double spread = 0.3; ///< the work takes up to this share less or more
};

class backend {
public:
    struct run {
        std::string requestId;
        double startedAt = 0;
        double endedAt = 0; ///< 0: still at work, or broken off
        bool crashed = false; ///< it ended the backend
    };

    explicit backend(backend_options options)
        : m_options(std::move(options))
        , m_random(static_cast<unsigned int>(std::hash<std::string> {}(m_options.id)))
    {
    }

    bool start()
    {
        m_bornMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count();
        return m_listening.start(m_options.ip, m_options.port, [this](int fd) { serve(fd); });
    }

    /// Ends like a process: requests at work are lost.
    void end()
    {
        m_ended = true;
        m_listening.stop();
    }

    [[nodiscard]] const backend_options& options() const { return m_options; }

    /// Starts again like a process that has crashed: with a new lifetime, and cold.
    bool restart(double coldMs)
    {
        m_coldUntil = nowMs() + coldMs;
        return start();
    }

    /// Whether the backend has crashed and waits to be started again.
    [[nodiscard]] bool hasCrashed() const { return m_crashed; }

    /// Ends the connections of a crashed backend.
    void finishCrash()
    {
        m_listening.stop();
        m_crashed = false;
    }

    /// The entry in the store.
    [[nodiscard]] std::string entry(std::uint64_t sequence) const
    {
        return "{\"address\":\"" + m_options.ip + ":" + std::to_string(m_options.port)
            + "\",\"born\":" + std::to_string(m_bornMs) + ",\"info\":{\"service\":\"" + m_options.service
            + "\",\"version\":\"v1\",\"zone\":\"" + m_options.zone
            + "\",\"max-concurrency\":" + std::to_string(m_options.slots)
            + "},\"status\":{\"state\":\"ready\",\"seq-no\":" + std::to_string(sequence) + ",\"cold-left\":\"0ms\"}}";
    }

    [[nodiscard]] std::vector<run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    /// Requests whose path begins so crash the backend; empty: none.
    std::string lethalPath;
    std::atomic<std::size_t> answerBytes { 1500 };

private:
    double draw()
    {
        const std::lock_guard lock(m_mutex);
        m_random = m_random * 1664525U + 1013904223U;
        return static_cast<double>(m_random >> 8U) / static_cast<double>(1U << 24U);
    }

    [[nodiscard]] int coldLeft() const { return static_cast<int>(std::max(0.0, m_coldUntil - nowMs())); }

    std::string loadHeader() const
    {
        return "X-Acaciaslip-Backend-Load: " + std::to_string(m_running.load()) + ",0,"
            + std::to_string(m_options.slots) + "\r\n";
    }

    void serve(int fd)
    {
        reader input(fd);
        while (!m_ended) {
            const auto request = input.read(nowMs() + 10000);
            if (!request.complete || m_ended)
                return;
            if (!(request.target() == "/health" ? answerHealth(fd) : answer(fd, request)))
                return;
        }
    }

    bool answerHealth(int fd)
    {
        return sendAll(fd,
            "HTTP/1.1 200 OK\r\nX-Acaciaslip-Instance-Id: " + m_options.id + "\r\n" + loadHeader()
                + "X-Acaciaslip-Cold-Ms: " + std::to_string(coldLeft())
                + "\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n");
    }

    bool answer(int fd, const message& request)
    {
        const auto id = request.header("X-Acaciaslip-Request-Id").value_or("");
        const auto expected = request.header("X-Acaciaslip-Expect-Instance");
        const auto start = "X-Acaciaslip-Request-Id: " + id + "\r\n" + loadHeader() + "Keep-Alive: timeout=10\r\n";
        if (expected && *expected != m_options.id) {
            note("backend %s 421 %s", m_options.id.c_str(), id.c_str());
            return sendAll(fd,
                "HTTP/1.1 421 Misdirected Request\r\nX-Acaciaslip-Not-Executed: 1\r\n" + start
                    + "X-Acaciaslip-Instance-Id: " + m_options.id + "\r\nContent-Length: 0\r\n\r\n");
        }
        if (m_running.fetch_add(1) >= m_options.slots) {
            --m_running;
            note("backend %s full %s", m_options.id.c_str(), id.c_str());
            return sendAll(fd,
                "HTTP/1.1 503 Service Unavailable\r\nX-Acaciaslip-Not-Executed: 1\r\n" + start
                    + "Content-Length: 0\r\n\r\n");
        }
        const auto deadline = request.header("X-Acaciaslip-Deadline-Ms").value_or("none");
        std::size_t index = 0;
        {
            const std::lock_guard lock(m_mutex);
            index = m_runs.size();
            m_runs.push_back({ id, nowMs(), 0 });
        }
        note("backend %s runs %s deadline %s", m_options.id.c_str(), id.c_str(), deadline.c_str());
        if (!lethalPath.empty() && request.target().rfind(lethalPath, 0) == 0) {
            sleepMs(20);
            note("backend %s crashes while it runs %s", m_options.id.c_str(), id.c_str());
            {
                const std::lock_guard lock(m_mutex);
                m_runs[index].crashed = true;
            }
            m_ended = true;
            m_crashed = true;
            --m_running;
            return false;
        }
        const bool finished = work(fd, m_options.workMs * (1 + m_options.spread * (2 * draw() - 1)));
        --m_running;
        if (!finished) {
            note("backend %s broken off %s", m_options.id.c_str(), id.c_str());
            return false;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runs[index].endedAt = nowMs();
        }
        note("backend %s ended %s", m_options.id.c_str(), id.c_str());
        const std::string body(answerBytes, 'b');
        const auto seal = "X-Acaciaslip-Response-Seal: seal." + id + "\r\n";
        return sendAll(fd,
            "HTTP/1.1 200 OK\r\n" + start + seal + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
    }

    /// \return false if the connection or the process has ended meanwhile
    bool work(int fd, double ms)
    {
        const double end = nowMs() + ms;
        while (nowMs() < end) {
            pollfd waiting { fd, POLLRDHUP, 0 };
            ::poll(&waiting, 1, static_cast<int>(std::max(1.0, std::min(5.0, end - nowMs()))));
            if (m_ended || (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
                return false;
        }
        return !m_ended;
    }

    backend_options m_options;
    std::int64_t m_bornMs = 0;
    std::atomic<bool> m_ended { false };
    std::atomic<bool> m_crashed { false };
    std::atomic<double> m_coldUntil { 0 };
    std::atomic<int> m_running { 0 };
    mutable std::mutex m_mutex;
    unsigned int m_random;
    std::vector<run> m_runs;
    listener m_listening; // last, so that its threads end first
};

// The gateways

struct gateway {
    std::string name;
    std::string zone;
    std::string ip;
    std::string storeIp;
    pid_t pid = -1;
    std::atomic<bool> ready { false };
    std::atomic<int> misses { 2 }; ///< questions in a row without a 200
    double startedAt = 0;
};

/// The whole deployment.
class deployment {
public:
    deployment(std::string program, std::string folder)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
    {
        const auto ports = findFreePorts(6);
        m_frontPort = ports[0];
        m_readyPort = ports[1];
        m_controlPort = ports[2];
        m_internalPort = ports[3];
        m_storePort = ports[4];
        m_backendPort = ports[5];
    }

    ~deployment() { stop(); }

    store& platform() { return m_store; }

    gateway& addGateway(const std::string& zone)
    {
        auto& added = m_gateways.emplace_back();
        const auto number = std::to_string(m_gateways.size());
        added.name = "front-" + zone + "-" + number;
        added.zone = zone;
        added.ip = "127.0.42." + number;
        added.storeIp = "127.0.43." + number;
        return added;
    }

    std::list<gateway>& gateways() { return m_gateways; }

    backend& addBackend(
        const std::string& id, const std::string& service, const std::string& zone, double workMs, int slots = 4)
    {
        backend_options options;
        options.id = id;
        options.service = service;
        options.zone = zone;
        options.ip = "127.0.44." + std::to_string(m_backends.size() + 1);
        options.port = m_backendPort;
        options.slots = slots;
        options.workMs = workMs;
        m_backends.push_back(std::make_unique<backend>(options));
        return *m_backends.back();
    }

    std::vector<std::unique_ptr<backend>>& backends() { return m_backends; }

    backend& findBackend(const std::string& id)
    {
        for (auto& known : m_backends) {
            if (known->options().id == id)
                return *known;
        }
        std::abort();
    }

    /// Starts everything and waits until all gateways are ready.
    bool start(const std::string& configuration)
    {
        for (auto& made : m_gateways) {
            if (!m_store.listen(made.name, made.storeIp, m_storePort))
                return false;
        }
        m_store.put("op/config", configuration);
        for (auto& made : m_backends) {
            if (!made->start())
                return false;
            m_store.put("servers/" + made->options().id, made->entry(++m_sequence));
        }
        for (auto& made : m_gateways)
            startGateway(made);
        m_balancer = std::thread([this] { askReady(); });
        const double latest = nowMs() + 15000;
        while (nowMs() < latest) {
            bool all = true;
            for (auto& made : m_gateways)
                all = all && made.ready;
            if (all)
                return true;
            sleepMs(50);
        }
        return false;
    }

    void startGateway(gateway& made)
    {
        const auto file = writeSettingsFile(made);
        const auto log = m_folder + "/" + made.name + ".log";
        made.startedAt = nowMs();
        made.pid = ::fork();
        if (made.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("ACACIASLIP_NODE_FILE", file.c_str(), 1);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::execl(m_program.c_str(), m_program.c_str(), "gateway", static_cast<char*>(nullptr));
            ::_exit(127);
        }
        note("gateway %s started", made.name.c_str());
    }

    /// Lets the store listen on another port as well, and writes its new address into the settings of all gateways. The
    /// old addresses end with `endOldStore`.
    bool moveStore()
    {
        m_storePort = findFreePorts(1).front();
        for (auto& made : m_gateways) {
            if (!m_store.listen(made.name + " (moved)", made.storeIp, m_storePort))
                return false;
            writeSettingsFile(made);
        }
        return true;
    }

    void endOldStore()
    {
        for (auto& made : m_gateways)
            m_store.endPath(made.name);
    }

    /// Brings crashed backends back after some seconds, until the deployment stops.
    void superviseBackends(double downMs, double coldMs)
    {
        m_supervisor = std::thread([this, downMs, coldMs] {
            std::map<backend*, double> down;
            while (!m_stopping) {
                for (auto& made : m_backends) {
                    if (made->hasCrashed()) {
                        made->finishCrash();
                        down[made.get()] = nowMs();
                    }
                }
                for (auto position = down.begin(); position != down.end();) {
                    if (nowMs() < position->second + downMs || !position->first->restart(coldMs)) {
                        ++position;
                        continue;
                    }
                    auto& back = *position->first;
                    m_store.put("servers/" + back.options().id, back.entry(++m_sequence));
                    note("backend %s is back", back.options().id.c_str());
                    position = down.erase(position);
                }
                sleepMs(2);
            }
        });
    }

    [[nodiscard]] int frontPort() const { return m_frontPort; }
    [[nodiscard]] int controlPort() const { return m_controlPort; }

    void stop()
    {
        if (m_stopping.exchange(true))
            return;
        if (m_balancer.joinable())
            m_balancer.join();
        if (m_supervisor.joinable())
            m_supervisor.join();
        for (auto& running : m_gateways) {
            if (running.pid > 0) {
                ::kill(running.pid, SIGKILL);
                ::waitpid(running.pid, nullptr, 0);
                running.pid = -1;
            }
        }
        for (auto& made : m_backends)
            made->end();
        m_store.stop();
    }

private:
    /// \return the path of the file, which is replaced in one step
    std::string writeSettingsFile(const gateway& made) const
    {
        const auto file = m_folder + "/" + made.name + ".yaml";
        const auto written = file + ".new";
        if (std::FILE* const settings = std::fopen(written.c_str(), "w")) {
            std::fputs(writeSettings(made).c_str(), settings);
            std::fclose(settings);
        }
        std::rename(written.c_str(), file.c_str());
        return file;
    }

    std::string writeSettings(const gateway& made) const
    {
        const auto port = [](int number) { return std::to_string(number); };
        std::string seeds;
        std::string zones;
        std::set<std::string> seenZones;
        for (const auto& other : m_gateways) {
            if (!seenZones.insert(other.zone).second)
                continue;
            seeds += "    - \"" + other.ip + ":" + port(m_controlPort) + "\"\n";
            zones += "    " + other.zone + ": \"nl-midden\"\n";
        }
        return "self:\n  node-name: \"" + made.name + "\"\n  role: \"gateway\"\n  machine-class: \"front\"\n"
            + "  serves:\n    - \"front\"\n    - \"control\"\n  ip: \"" + made.ip + "\"\n  zone: \"" + made.zone
            + "\"\n  region: \"nl-midden\"\n  counts-as-loss: false\n  bootstrap: true\n  data-dir: null\n"
            + "  limits:\n    cpu-share: 0.2\n    cpu-cores: 1\n    memory-mb: 260\n    max-fds: 4100\n"
            + "    link-mbps: 1000.0\n    disk-mb: 0\nnetwork:\n  listen:\n    front: \"" + made.ip + ":"
            + port(m_frontPort) + "\"\n    ready: \"" + made.ip + ":" + port(m_readyPort) + "\"\n    control: \""
            + made.ip + ":" + port(m_controlPort) + "\"\n  internal-ports:\n    - " + port(m_internalPort) + "\n    - "
            + port(m_internalPort + 15) + "\n  seeds:\n" + seeds + "  zones:\n" + zones
            + "platform:\n  discovery: \"platform\"\n  entry: \"vip\"\n  heartbeat: \"1500ms\"\n  platform:\n"
            + "    address: \"" + made.storeIp + ":" + port(m_storePort) + "\"\n    form: \"read\"\n"
            + "    writes-per-s: 400\n    reads-per-s: 2000\n    retention: \"20s\"\n    value-bytes: 1048576\n"
            + "    min-ttl: \"1000ms\"\nterms:\n  contracts:\n    - \"base\"\n    - \"drain\"\n    - \"config\"\n"
            + "    - \"cost\"\n    - \"retry\"\n    - \"recover\"\n    - \"health\"\n    - \"places\"\n"
            + "    - \"platform\"\n  fault-tolerance:\n    nodes: 1\n    zones: 1\n    regions: 0\n  bounds:\n"
            + "    seed-lag: \"3s\"\n    reuse-delay: \"2s\"\n    stable-window: \"3000ms\"\n    ack: \"4000ms\"\n"
            + "    sync_time: \"4s\"\n    drain: \"2000ms\"\n    grace: \"6s\"\n    loss-slack: \"200ms\"\n"
            + "    config-apply: \"2000ms\"\n    rollback-slack: \"250ms\"\n    skew-max: \"5000ms\"\n"
            + "    retry-ratio: 0.2\n    retry-window: \"10s\"\n    retry-slack: 60\n    cold-overload-factor: 1.5\n"
            + "    cold-slack: 5\n    evac: \"5000ms\"\n    recovery: \"15s\"\n    probes-per-s: 60\n";
    }

    /// The platform asks every daemon once a second whether it is ready.
    void askReady()
    {
        while (!m_stopping) {
            for (auto& asked : m_gateways) {
                bool ready = false;
                if (const int fd = connectTo(asked.ip, m_readyPort, 300); fd >= 0) {
                    if (sendAll(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"))
                        ready = reader(fd).read(nowMs() + 500).status() == 200;
                    ::close(fd);
                }
                asked.misses = ready ? 0 : asked.misses + 1;
                asked.ready = asked.misses < 2;
            }
            sleepMs(1000);
        }
    }

    std::string m_program;
    std::string m_folder;
    int m_frontPort = 0;
    int m_readyPort = 0;
    int m_controlPort = 0;
    int m_internalPort = 0;
    int m_storePort = 0;
    int m_backendPort = 0;
    store m_store;
    std::list<gateway> m_gateways;
    std::vector<std::unique_ptr<backend>> m_backends;
    std::thread m_balancer;
    std::thread m_supervisor;
    std::atomic<bool> m_stopping { false };
    std::atomic<std::uint64_t> m_sequence { 0 };
};

/// A configuration with one route of requests that may be repeated and one of bookings that may not.
inline std::string makeConfiguration(const std::string& version, std::uint64_t maxBodyBytes = 67108864,
    const std::string& timeout = "2500ms", const std::string& slotObjective = "600ms",
    const std::string& slotService = "slotview", int slotPriority = 2)
{
    return "{\"version\":\"" + version
        + "\",\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":" + std::to_string(maxBodyBytes)
        + ",\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"},\"listeners\":[{\"host\":\"visits.example\","
          "\"rules\":[{\"name\":\"r-slot\",\"kind\":\"idempotent\",\"latency-slo\":\""
        + slotObjective + "\",\"priority\":" + std::to_string(slotPriority)
        + ","
          "\"match\":{\"path-prefix\":\"/slot/\"},\"action\":{\"service\":\""
        + slotService + "\",\"timeout\":\"" + timeout
        + "\",\"attempts\":2}},{\"name\":\"r-book\",\"kind\":\"non_idempotent\",\"latency-slo\":\"800ms\","
          "\"priority\":1,\"match\":{\"path-prefix\":\"/book/\"},\"action\":{\"service\":\"boekhuis\",\"timeout\":\""
        + timeout
        + "\",\"attempts\":2}}]}],\"clusters\":[{\"name\":\"slotview\",\"health-path\":\"/health\",\"max-conns\":220,"
          "\"protocol\":\"h1\",\"tls\":false,\"cold-start\":\"3s\",\"cold-per-s\":1.6},{\"name\":\"boekhuis\","
          "\"health-path\":\"/health\",\"max-conns\":220,\"protocol\":\"h1\",\"tls\":false,\"cold-start\":\"3s\","
          "\"cold-per-s\":1.6},{\"name\":\"slotnew\",\"health-path\":\"/health\",\"max-conns\":220,"
          "\"protocol\":\"h1\",\"tls\":false,\"cold-start\":\"3s\",\"cold-per-s\":1.6}]}";
}

inline std::string makeRequestId()
{
    static std::atomic<std::uint64_t> next { 0x9c41d07be2a30000ULL };
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

inline std::string writeRequest(const std::string& method, const std::string& path, const std::string& id,
    int deadlineMs, const std::string& body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: visits.example\r\nX-Acaciaslip-Request-Id: " + id
        + "\r\nX-Acaciaslip-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
        + (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
}

inline std::string describe(const message& answer)
{
    if (answer.complete)
        return std::to_string(answer.status());
    return answer.reset ? "reset" : answer.closed ? "closed" : "none";
}

} // namespace review
