#include "transport/caller_loop.hpp"

#include "transport/clock.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>

#include <absl/strings/numbers.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace acaciaslip::transport {

namespace {

constexpr int eventsAtOnce = 256;
constexpr std::chrono::milliseconds sweepInterval { 50 };
constexpr int statusUnavailable = 503;
constexpr std::array<std::string_view, 5> idempotentMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };

bool isIdempotentMethod(std::string_view method)
{
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

std::string readHeader(const httplib::Headers& headers, const char* name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string withoutPort(std::string host)
{
    const auto colon = host.rfind(':');
    const bool isIpv6 = host.find(']') != std::string::npos && colon < host.find(']');
    if (colon != std::string::npos && !isIpv6)
        host.resize(colon);
    return host;
}

coordination::request_arrived describe(state::request_id id, std::shared_ptr<exchange> taken)
{
    coordination::request_arrived arrived;
    arrived.id = id;
    arrived.host = withoutPort(readHeader(taken->headers, "Host"));
    arrived.path = taken->path;
    arrived.idempotentMethod = isIdempotentMethod(taken->method);
    arrived.idempotencyKey = readHeader(taken->headers, "Idempotency-Key");
    std::int64_t timeout = 0;
    constexpr std::int64_t longestTimeout = 86'400'000;
    if (absl::SimpleAtoi(readHeader(taken->headers, "Request-Timeout-Ms"), &timeout) && timeout > 0)
        arrived.timeout = std::chrono::milliseconds { std::min(timeout, longestTimeout) };
    removeOwnHeaders(taken->headers);
    arrived.body = std::move(taken);
    return arrived;
}

} // namespace

caller_loop::caller_loop(event_sink events, const edge_limits& limits, std::uint64_t index, std::uint64_t loops)
    : m_events(std::move(events))
    , m_limits(limits)
    , m_nextRequest(loops + index)
    , m_loops(loops)
{
    // Each connection has at most one result on its way, and is added once.
    constexpr std::size_t margin = 1024;
    m_ring.set_capacity(static_cast<std::ptrdiff_t>(2 * limits.connections + margin));
}

caller_loop::~caller_loop()
{
    stop();
}

bool caller_loop::start()
{
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    epoll_event watched {};
    watched.events = EPOLLIN;
    watched.data.fd = m_wakeup;
    if (m_epoll < 0 || m_wakeup < 0 || epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &watched) != 0)
        return false;
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), "caller_io");
    return true;
}

void caller_loop::add(int socket, bool refused)
{
    ++m_open;
    m_ring.push(added_connection { socket, refused });
    wake();
}

void caller_loop::finish(caller_result result)
{
    m_ring.push(std::move(result));
    wake();
}

void caller_loop::beginStop()
{
    m_ending = true;
}

void caller_loop::refuseParts()
{
    m_refusingParts = true;
}

void caller_loop::stop()
{
    if (m_thread.joinable()) {
        m_stopping = true;
        wake();
        m_thread.join();
    }
    for (auto* descriptor : { &m_epoll, &m_wakeup }) {
        if (*descriptor >= 0)
            close(*descriptor);
        *descriptor = -1;
    }
}

void caller_loop::wake()
{
    if (m_woken.exchange(true))
        return;
    const std::uint64_t one = 1;
    (void)!write(m_wakeup, &one, sizeof(one));
}

void caller_loop::run()
{
    std::array<epoll_event, eventsAtOnce> events {};
    while (!m_stopping) {
        const int timeout = m_turns.empty() ? static_cast<int>(sweepInterval.count()) : 0;
        const int count = epoll_wait(m_epoll, events.data(), eventsAtOnce, timeout);
        const auto now = monotonicNow();
        std::vector<int> turns;
        turns.swap(m_turns);
        for (int index = 0; index < count; ++index) {
            const int socket = events[static_cast<std::size_t>(index)].data.fd;
            if (socket == m_wakeup) {
                takeCommands(now);
                continue;
            }
            const auto found = m_connections.find(socket);
            if (found == m_connections.end())
                continue;
            found->second.connection->noteEvents(events[static_cast<std::size_t>(index)].events);
            serve(socket, found->second, now);
        }
        for (const int socket : turns) {
            if (const auto found = m_connections.find(socket); found != m_connections.end())
                serve(socket, found->second, now);
        }
        if (now >= m_nextSweep)
            sweep(now);
    }
    m_connections.clear();
}

void caller_loop::takeCommands(state::time_point now)
{
    std::uint64_t count = 0;
    (void)!read(m_wakeup, &count, sizeof(count));
    m_woken = false;
    command next;
    while (m_ring.try_pop(next))
        std::visit([&](const auto& known) { obey(known, now); }, next);
}

void caller_loop::obey(const added_connection& added, state::time_point now)
{
    epoll_event watched {};
    watched.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    watched.data.fd = added.socket;
    auto connection = std::make_unique<caller_connection>(added.socket, m_limits, m_parser, now);
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, added.socket, &watched) != 0) {
        --m_open;
        return;
    }
    if (added.refused)
        connection->refuse(statusUnavailable, "too many connections", now);
    auto& kept = m_connections[added.socket];
    kept.connection = std::move(connection);
    serve(added.socket, kept, now);
}

void caller_loop::obey(const caller_result& result, state::time_point now)
{
    const auto id = std::visit([](const auto& known) { return known.id; }, result);
    const auto waiting = m_waiting.find(id);
    if (waiting == m_waiting.end())
        return;
    const int socket = waiting->second;
    m_waiting.erase(waiting);
    auto& answered = m_connections.at(socket);
    answered.connection->answer(result, now);
    serve(socket, answered, now);
}

void caller_loop::serve(int socket, entry& served, state::time_point now)
{
    auto& connection = *served.connection;
    try {
        if (auto request = connection.advance(now))
            post(socket, served, std::move(request), now);
    } catch (const std::exception&) { // out of memory, for one: this connection alone ends
        connection.close();
    }
    if (connection.isCallerGone()) {
        m_events.post(coordination::caller_gone { served.waitsFor });
        connection.close();
    }
    if (connection.stage() == caller_stage::closed)
        forget(socket);
    else if (connection.wantsTurn())
        m_turns.push_back(socket);
}

void caller_loop::post(int socket, entry& served, std::shared_ptr<exchange> request, state::time_point now)
{
    const auto id = state::request_id { m_nextRequest };
    m_nextRequest += m_loops;
    if (!m_events.tryPost(describe(id, std::move(request)))) {
        served.connection->refuse(statusUnavailable, "overloaded", now);
        (void)served.connection->advance(now);
        return;
    }
    served.waitsFor = id;
    m_waiting[id] = socket;
}

void caller_loop::sweep(state::time_point now)
{
    m_nextSweep = now + sweepInterval;
    std::vector<int> sockets;
    sockets.reserve(m_connections.size());
    for (const auto& [socket, kept] : m_connections)
        sockets.push_back(socket);
    for (const int socket : sockets) {
        auto& kept = m_connections.at(socket);
        kept.connection->checkDeadline(now);
        if (m_ending)
            kept.connection->endSoon(now, m_refusingParts);
        serve(socket, kept, now);
    }
}

void caller_loop::forget(int socket)
{
    const auto found = m_connections.find(socket);
    m_waiting.erase(found->second.waitsFor);
    m_connections.erase(found);
    --m_open;
}

} // namespace acaciaslip::transport
