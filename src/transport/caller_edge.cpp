#include "transport/caller_edge.hpp"

#include "transport/address.hpp"
#include "transport/clock.hpp"

#include <algorithm>
#include <chrono>

#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace acaciaslip::transport {

namespace {

constexpr std::uint64_t loops = 2;
constexpr int backlog = 1024;
constexpr std::size_t refusedConnections = 256; ///< that are answered at a time; further ones are only closed
constexpr std::chrono::milliseconds pollInterval { 10 };

/// Runs each task at once, on the thread that takes connections: passing one on does not wait.
class inline_queue final : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> task) override { task(); }
    void shutdown() override { }
};

/// The limit that descriptors leave: half of them, so that as many may lead to servers.
std::size_t limitByDescriptors(std::size_t wanted)
{
    rlimit descriptors {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
        return wanted;
    return std::min(wanted, static_cast<std::size_t>(descriptors.rlim_cur / 2));
}

} // namespace

caller_edge::listener::listener(caller_edge& edge)
    : m_edge(edge)
{
    new_task_queue = [] { return new inline_queue; };
    set_socket_options([](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
}

/// The library asks for room for five connections that are not yet taken; a burst needs more.
void caller_edge::listener::deepenBacklog()
{
    (void)::listen(svr_sock_, backlog);
}

bool caller_edge::listener::process_and_close_socket(socket_t sock)
{
    m_edge.take(sock);
    return true;
}

caller_edge::caller_edge(const event_sink& events, const state::node_settings& settings, const edge_limits& limits)
    : m_settings(settings)
    , m_limits(limits)
    , m_listener(*this)
{
    m_limits.message.bodyBytes = settings.maxBodyBytes;
    m_limits.connections = limitByDescriptors(limits.connections);
    for (std::uint64_t index = 0; index < loops; ++index)
        m_loops.push_back(std::make_unique<caller_loop>(events, m_limits, index, loops));
}

caller_edge::~caller_edge()
{
    stop();
}

absl::Status caller_edge::start()
{
    const auto parsed = parseAddress(m_settings.callers);
    if (!parsed.ok())
        return parsed.status();
    if (!m_listener.bind_to_port(parsed->ip, parsed->port))
        return absl::UnavailableError(fmt::format("cannot listen on {} for callers", m_settings.callers));
    m_listener.deepenBacklog();
    for (auto& loop : m_loops) {
        if (!loop->start())
            return absl::ResourceExhaustedError("cannot start a thread for callers");
    }
    m_thread = std::thread([this] { m_listener.listen_after_bind(); });
    pthread_setname_np(m_thread.native_handle(), "callers");
    return absl::OkStatus();
}

void caller_edge::finish(caller_result result)
{
    const auto id = std::visit([](const auto& known) { return known.id; }, result);
    m_loops[static_cast<std::uint64_t>(id) % loops]->finish(std::move(result));
}

void caller_edge::stop()
{
    if (!m_thread.joinable())
        return;
    for (auto& loop : m_loops)
        loop->beginStop();
    awaitQuiet();
    m_listener.stop();
    m_thread.join();
    for (auto& loop : m_loops)
        loop->refuseParts();
    const auto end = monotonicNow() + m_limits.stop;
    while (openConnections() > 0 && monotonicNow() < end)
        std::this_thread::sleep_for(pollInterval);
    for (auto& loop : m_loops)
        loop->stop();
}

std::size_t caller_edge::openConnections() const noexcept
{
    std::size_t open = 0;
    for (const auto& loop : m_loops)
        open += loop->openConnections();
    return open;
}

/// Deals a connection out. Runs on the thread that takes them.
void caller_edge::take(int socket)
{
    const auto open = openConnections();
    if (open >= m_limits.connections + refusedConnections) {
        close(socket);
        return;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
    m_loops[m_taken++ % loops]->add(socket, open >= m_limits.connections);
}

/// Waits until no connection has come for a while, so that none is left in the listener's queue when it closes.
void caller_edge::awaitQuiet() const
{
    const auto end = monotonicNow() + m_limits.listen;
    auto seen = m_taken.load();
    auto quietSince = monotonicNow();
    while (monotonicNow() - quietSince < m_limits.quiet && monotonicNow() < end) {
        std::this_thread::sleep_for(pollInterval);
        if (m_taken.load() == seen)
            continue;
        seen = m_taken.load();
        quietSince = monotonicNow();
    }
}

} // namespace acaciaslip::transport
