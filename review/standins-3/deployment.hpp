// A small deployment on loopback addresses: gateway processes, a store, backends and clients that follow the users'
// pages. Every stand-in uses blocking sockets and one thread per connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

inline clock_type::time_point startedAt = clock_type::now();

inline double elapsed()
{
    return std::chrono::duration<double>(clock_type::now() - startedAt).count();
}

inline void sleepFor(std::chrono::milliseconds span)
{
    std::this_thread::sleep_for(span);
}

/// Writes record.txt: one line per event, with the seconds since the start.
class record {
public:
    static void open(const std::string& path) { file() = std::fopen(path.c_str(), "w"); }

    __attribute__((format(printf, 1, 2))) static void line(const char* format, ...)
    {
        const std::lock_guard lock(mutex());
        if (file() == nullptr)
            return;
        std::fprintf(file(), "%9.4f ", elapsed());
        va_list values;
        va_start(values, format);
        std::vfprintf(file(), format, values);
        va_end(values);
        std::fputc('\n', file());
        std::fflush(file());
    }

private:
    static std::FILE*& file()
    {
        static std::FILE* opened = nullptr;
        return opened;
    }
    static std::mutex& mutex()
    {
        static std::mutex made;
        return made;
    }
};

[[noreturn]] inline void cannotRun(const std::string& why)
{
    record::line("cannot run: %s", why.c_str());
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::exit(2);
}

struct message {
    std::string start; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< the whole message was read
    bool reset = false; ///< the connection was reset

    [[nodiscard]] std::string header(std::string_view name) const
    {
        for (const auto& [known, value] : headers) {
            if (known.size() == name.size() && strncasecmp(known.data(), name.data(), name.size()) == 0)
                return value;
        }
        return {};
    }
    [[nodiscard]] std::string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const auto first = start.find(' ');
        return start.substr(first + 1, start.rfind(' ') - first - 1);
    }
    [[nodiscard]] int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

/// A connected socket with a read buffer.
class connection {
public:
    explicit connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> open(const std::string& ip, int port, int receiveBuffer = 0)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0)
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
            ::close(socket);
            return nullptr;
        }
        return std::make_unique<connection>(socket);
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Reads one message. Requests and answers have a length here, or no body.
    message read(std::chrono::milliseconds limit = 60s)
    {
        const auto until = clock_type::now() + limit;
        message read;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until, read))
                return read;
        }
        std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        read.start = head.substr(0, head.find("\r\n"));
        for (std::size_t at = read.start.size() + 2; at < head.size();) {
            const auto lineEnd = head.find("\r\n", at);
            const auto line = head.substr(at, lineEnd - at);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' ') == std::string::npos ? 0 : value.find_first_not_of(' '));
                read.headers.emplace_back(line.substr(0, colon), value);
            }
            at = lineEnd + 2;
        }
        const auto length = static_cast<std::size_t>(std::atoll(read.header("Content-Length").c_str()));
        while (m_buffer.size() < length) {
            if (!fill(until, read)) {
                read.body = m_buffer;
                return read;
            }
        }
        read.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        read.complete = true;
        return read;
    }

    /// Whether the peer has closed the connection; does not block.
    [[nodiscard]] bool isClosed() const
    {
        char byte = 0;
        const auto got = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }
    [[nodiscard]] int socket() const { return m_socket; }

private:
    bool fill(clock_type::time_point until, message& into)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock_type::now()).count();
        pollfd wait { m_socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        const auto got = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (got <= 0) {
            into.reset = got < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    int m_socket;
    std::string m_buffer;
};

/// Accepts connections on a loopback address and runs a handler for each one in its own thread.
class listener {
public:
    using handler = std::function<void(connection&)>;

    /// \param port 0 for any free port
    listener(const std::string& ip, handler handle, int port = 0)
        : m_ip(ip)
        , m_handle(std::move(handle))
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in own {};
        own.sin_family = AF_INET;
        own.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &own.sin_addr);
        socklen_t size = sizeof own;
        if (::bind(m_socket, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 || ::listen(m_socket, 512) != 0
            || ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&own), &size) != 0)
            cannotRun("cannot listen on " + ip);
        m_port = ntohs(own.sin_port);
        std::thread([this] {
            for (;;) {
                const int accepted = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                {
                    const std::lock_guard lock(m_mutex);
                    if (m_stopped) {
                        ::close(accepted);
                        return;
                    }
                    m_accepted.insert(accepted);
                }
                std::thread([this, accepted] {
                    connection made(accepted);
                    while (m_silent)
                        sleepFor(5ms);
                    m_handle(made);
                    const std::lock_guard lock(m_mutex);
                    m_accepted.erase(accepted);
                }).detach();
            }
        }).detach();
    }

    /// Ends all connections; new ones are accepted, and nobody answers on them until `resume`.
    void fallSilent()
    {
        const std::lock_guard lock(m_mutex);
        m_silent = true;
        for (const int accepted : m_accepted)
            ::shutdown(accepted, SHUT_RDWR);
    }

    void resume() { m_silent = false; }

    /// Closes the listening socket and ends all connections.
    void stop()
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        ::shutdown(m_socket, SHUT_RDWR);
        ::close(m_socket);
        for (const int accepted : m_accepted)
            ::shutdown(accepted, SHUT_RDWR);
    }

    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    std::string m_ip;
    handler m_handle;
    std::mutex m_mutex;
    std::set<int> m_accepted;
    bool m_stopped = false;
    std::atomic<bool> m_silent { false };
    int m_socket = -1;
    int m_port = 0;
};

inline std::string answer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8U | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            encoded += at + digit <= bytes.size() ? digits[group >> (18U - 6U * digit) & 63U] : '=';
    }
    return encoded;
}

/// How the store treats its callers.
enum class store_mode { normal, silent, busy };

/// The platform's store, as far as gateways read it.
class store {
public:
    explicit store(const std::string& ip)
        : m_listener(ip, [this](connection& from) { serve(from); })
    {
    }

    /// Writes or removes an item. Returning is the store's ack.
    void put(const std::string& key, const std::optional<std::string>& value)
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = { ++m_revision, value };
        m_changed.notify_all();
        record::line("store: %s %s at revision %llu", value ? "wrote" : "removed", key.c_str(),
            static_cast<unsigned long long>(m_revision));
    }

    void setMode(store_mode mode)
    {
        const std::lock_guard lock(m_mutex);
        m_mode = mode;
        m_changed.notify_all();
        record::line("store: %s",
            mode == store_mode::normal       ? "answers"
                : mode == store_mode::silent ? "does not answer"
                                             : "answers 503");
    }

    [[nodiscard]] std::string address() const { return m_listener.address(); }

private:
    struct item {
        std::uint64_t revision = 0;
        std::optional<std::string> value;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const auto from = at + name.size() + 1;
        return target.substr(from, std::min(target.find('&', from), target.size()) - from);
    }

    static std::string describe(const std::string& key, const item& written)
    {
        const auto revision = std::to_string(written.revision);
        if (!written.value)
            return R"({"key":")" + key + R"(","revision":)" + revision + R"(,"compacted":true})";
        return R"({"key":")" + key + R"(","value":")" + encodeBase64(*written.value) + R"(","revision":)" + revision
            + R"(,"created":)" + revision + R"(,"lease":0})";
    }

    void serve(connection& from)
    {
        for (;;) {
            const auto request = from.read();
            if (!request.complete)
                return;
            std::unique_lock lock(m_mutex);
            const auto target = request.target();
            std::string reply;
            if (m_mode == store_mode::normal)
                reply = target.starts_with("/kv-watch") ? watch(target, lock) : range(target);
            // A connection on which an answer is lost returns nothing further.
            while (m_mode == store_mode::silent) {
                m_changed.wait(lock);
                if (m_mode != store_mode::silent)
                    return;
            }
            if (m_mode == store_mode::busy)
                reply = answer(503, "", "");
            lock.unlock();
            if (!from.send(reply))
                return;
        }
    }

    std::string range(const std::string& target)
    {
        const auto prefix = parameter(target, "path-prefix");
        std::string items;
        for (const auto& [key, written] : m_items) {
            if (written.value && key.starts_with(prefix))
                items += (items.empty() ? "" : ",") + describe(key, written);
        }
        return answer(200, "Content-Type: application/json\r\n",
            R"({"items":[)" + items + R"(],"has-more":false,"as-of":)" + std::to_string(m_revision) + "}");
    }

    std::string watch(const std::string& target, std::unique_lock<std::mutex>& lock)
    {
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        auto wait = std::chrono::milliseconds(std::atoll(parameter(target, "wait-ms").c_str()));
        const auto until = clock_type::now() + wait;
        while (m_revision <= after && m_mode == store_mode::normal) {
            if (m_changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        std::map<std::uint64_t, std::string> events;
        for (const auto& [key, written] : m_items) {
            if (written.revision > after)
                events[written.revision] = describe(key, written);
        }
        std::string listed;
        for (const auto& [revision, text] : events)
            listed += (listed.empty() ? "" : ",") + text;
        return answer(200, "Content-Type: application/json\r\n",
            R"({"events":[)" + listed + R"(],"as-of":)" + std::to_string(std::max<std::uint64_t>(m_revision, after))
                + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 10;
    store_mode m_mode = store_mode::normal;
    listener m_listener;
};

/// A backend. The handler answers requests; health checks are answered here.
class backend {
public:
    using handler = std::function<void(connection&, const message&)>;

    backend(const std::string& ip, std::string id, std::string service, handler run, int slots = 4)
        : id(std::move(id))
        , service(std::move(service))
        , m_ip(ip)
        , m_run(std::move(run))
        , m_slots(slots)
        , m_listener(std::make_unique<listener>(ip, [this](connection& from) { serve(from); }))
    {
    }

    /// Ends like a process that crashes: its connections end. Nothing listens at its address any more or, if the port
    /// is held by another process that starts it again, nobody answers there.
    void crash(bool holdsPort)
    {
        ++m_lifetime;
        m_holdsPort = holdsPort;
        if (holdsPort)
            return m_listener->fallSilent();
        m_ended.push_back(std::move(m_listener));
        m_ended.back()->stop();
    }

    /// Starts again at the same address under the same id, as a new lifetime.
    void restart()
    {
        if (m_holdsPort)
            return m_listener->resume();
        const auto port = m_ended.back()->port();
        m_listener = std::make_unique<listener>(
            m_ip, [this](connection& from) { serve(from); }, port);
    }

    [[nodiscard]] int lifetime() const { return m_lifetime; }

    /// The entry that the backend writes to the store.
    [[nodiscard]] std::string entry(const std::string& zone, const std::string& state = "ready") const
    {
        return R"({"address":")" + m_listener->address() + R"(","info":{"service":")" + service
            + R"(","version":"v1","zone":")" + zone + R"(","max-concurrency":)" + std::to_string(m_slots)
            + R"(},"status":{"state":")" + state + R"(","seq-no":4,"cold-left":"0ms"},"born":)"
            + std::to_string(1700000000000 + 1000LL * m_lifetime) + "}";
    }

    /// Headers of every answer to a request.
    [[nodiscard]] std::string headers(const message& request) const
    {
        return "X-Acaciaslip-Request-Id: " + request.header("X-Acaciaslip-Request-Id")
            + "\r\nX-Acaciaslip-Response-Seal: seal-" + request.header("X-Acaciaslip-Request-Id") + "\r\n" + load();
    }

    [[nodiscard]] std::string load() const
    {
        return "X-Acaciaslip-Backend-Load: " + std::to_string(running.load()) + ",0," + std::to_string(m_slots)
            + ",100\r\n";
    }

    const std::string id;
    const std::string service;
    std::atomic<int> running { 0 };

private:
    void serve(connection& from)
    {
        const int lifetime = m_lifetime;
        for (;;) {
            const auto request = from.read();
            if (!request.complete || m_lifetime != lifetime)
                return;
            if (request.target() == "/health") {
                from.send(answer(200, "X-Acaciaslip-Instance-Id: " + id + "\r\n" + load(), ""));
                continue;
            }
            const auto expected = request.header("X-Acaciaslip-Expect-Instance");
            if (!expected.empty() && expected != id) {
                from.send(answer(421, "X-Acaciaslip-Instance-Id: " + id + "\r\n" + headers(request), ""));
                continue;
            }
            ++running;
            m_run(from, request);
            --running;
        }
    }

    std::string m_ip;
    handler m_run;
    int m_slots;
    std::atomic<int> m_lifetime { 0 };
    bool m_holdsPort = false;
    std::unique_ptr<listener> m_listener;
    std::vector<std::unique_ptr<listener>> m_ended;
};

/// A route of the configuration.
struct route {
    std::string host;
    std::string prefix;
    std::string service;
    bool idempotent = true;
    std::string timeout = "3000ms";
    std::string objective = "1500ms";
    int attempts = 2;
};

inline std::string configuration(int version, const std::vector<route>& routes)
{
    std::string listeners;
    std::map<std::string, bool> services;
    int number = 0;
    for (const auto& listed : routes) {
        services[listed.service] = true;
        listeners += (listeners.empty() ? "" : ",") + (R"({"host":")" + listed.host) + R"(","rules":[{"name":"r-)"
            + std::to_string(++number) + R"(","kind":")" + (listed.idempotent ? "idempotent" : "non_idempotent")
            + R"(","latency-slo":")" + listed.objective + R"(","priority":1,"match":{"path-prefix":")" + listed.prefix
            + R"("},"action":{"service":")" + listed.service + R"(","timeout":")" + listed.timeout + R"(","attempts":)"
            + std::to_string(listed.attempts) + "}}]}";
    }
    std::string clusters;
    for (const auto& [service, used] : services)
        clusters += (clusters.empty() ? "" : ",") + (R"({"name":")" + service)
            + R"(","health-path":"/health","max-conns":220,"protocol":"h1","tls":false,"cold-start":"3s","cold-per-s":3.4})";
    char hexadecimal[16];
    std::snprintf(hexadecimal, sizeof hexadecimal, "%08x", static_cast<unsigned>(version));
    return std::string(R"({"version":")") + hexadecimal
        + R"(","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},)"
        + R"("listeners":[)" + listeners + R"(],"clusters":[)" + clusters + "]}";
}

/// A gateway process, started with the command of the deploy file.
class gateway {
public:
    static constexpr int frontPort = 18641;

    gateway(std::string program, std::string folder, std::string name, std::string ip, std::string zone,
        std::string storeAddress, std::vector<std::string> seeds)
        : ip(std::move(ip))
        , zone(std::move(zone))
        , m_program(std::move(program))
        , m_settings(folder + "/" + name + ".yaml")
        , m_log(folder + "/" + name + ".log")
        , m_name(std::move(name))
        , m_store(std::move(storeAddress))
        , m_seeds(std::move(seeds))
    {
    }
    ~gateway() { kill(); }
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start()
    {
        writeSettings();
        const auto variable = "ACACIASLIP_NODE_FILE=" + m_settings;
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no gateway outlives the stand-ins
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            char* const arguments[] { const_cast<char*>(m_program.c_str()), const_cast<char*>("gateway"), nullptr };
            char* const environment[] { const_cast<char*>(variable.c_str()), nullptr };
            ::execve(m_program.c_str(), arguments, environment);
            ::_exit(127);
        }
        record::line("%s: started", m_name.c_str());
    }

    void signal(int number) const
    {
        record::line("%s: signal %d", m_name.c_str(), number);
        if (m_process > 0)
            ::kill(m_process, number);
    }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = -1;
    }

    /// \return whether the process has ended by itself; describes how
    bool hasEnded(std::string& how)
    {
        int status = 0;
        if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process)
            return false;
        m_process = -1;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "status " + std::to_string(WEXITSTATUS(status));
        record::line("%s: ended with %s", m_name.c_str(), how.c_str());
        return true;
    }

    [[nodiscard]] bool isReady() const
    {
        const auto to = connection::open(ip, frontPort - 1);
        return to && to->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") && to->read(1s).status() == 200;
    }

    [[nodiscard]] std::unique_ptr<connection> connect(int receiveBuffer = 0) const
    {
        return connection::open(ip, frontPort, receiveBuffer);
    }
    [[nodiscard]] pid_t process() const { return m_process; }
    [[nodiscard]] const std::string& name() const { return m_name; }

    const std::string ip;
    const std::string zone;

private:
    void writeSettings() const
    {
        std::string seeds;
        for (const auto& seed : m_seeds)
            seeds += "    - \"" + seed + ":18649\"\n";
        const auto text = "self:\n  node-name: \"" + m_name + "\"\n  role: \"gateway\"\n  machine-class: \"front\"\n"
            + "  serves:\n    - \"front\"\n    - \"control\"\n  ip: \"" + ip + "\"\n  zone: \"" + zone + "\"\n"
            + "  region: \"nl-midden\"\n  counts-as-loss: false\n  bootstrap: true\n  data-dir: null\n  limits:\n"
            + "    cpu-share: 0.2\n    cpu-cores: 1\n    memory-mb: 260\n    max-fds: 4100\n    link-mbps: 1000.0\n"
            + "    disk-mb: 0\nnetwork:\n  listen:\n    front: \"" + ip + ":18641\"\n    ready: \"" + ip
            + ":18640\"\n    control: \"" + ip + ":18649\"\n  internal-ports:\n    - 18620\n    - 18635\n  seeds:\n"
            + seeds + "platform:\n  discovery: \"platform\"\n  entry: \"vip\"\n  heartbeat: \"1500ms\"\n  platform:\n"
            + "    address: \"" + m_store + "\"\n    form: \"read\"\n    writes-per-s: 400\n    reads-per-s: 2000\n"
            + "    retention: \"20s\"\n    value-bytes: 1048576\n    min-ttl: \"1000ms\"\nterms:\n  bounds:\n"
            + "    seed-lag: \"3s\"\n    reuse-delay: \"2s\"\n    stable-window: \"3000ms\"\n    ack: \"4000ms\"\n"
            + "    sync_time: \"4s\"\n    drain: \"2000ms\"\n    grace: \"6s\"\n    loss-slack: \"200ms\"\n"
            + "    config-apply: \"2000ms\"\n    rollback-slack: \"250ms\"\n    skew-max: \"5000ms\"\n"
            + "    retry-ratio: 0.2\n    retry-window: \"10s\"\n    retry-slack: 58\n    cold-overload-factor: 1.5\n"
            + "    cold-slack: 5\n    evac: \"5000ms\"\n    recovery: \"15s\"\n    probes-per-s: 60\n";
        std::FILE* const file = std::fopen(m_settings.c_str(), "w");
        std::fwrite(text.data(), 1, text.size(), file);
        std::fclose(file);
    }

    std::string m_program;
    std::string m_settings;
    std::string m_log;
    std::string m_name;
    std::string m_store;
    std::vector<std::string> m_seeds;
    pid_t m_process = -1;
};

/// Chooses loopback addresses that no other run uses at the same time.
inline std::string addressOf(int number)
{
    const auto process = static_cast<int>(::getpid());
    return "127." + std::to_string(20 + process / 200 % 200) + "." + std::to_string(1 + process % 200) + "."
        + std::to_string(number);
}

inline std::string request(const std::string& method, const std::string& host, const std::string& target,
    const std::string& id, int deadlineMs, const std::string& body = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Acaciaslip-Request-Id: " + id
        + "\r\nX-Acaciaslip-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
        + (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
}

} // namespace review
