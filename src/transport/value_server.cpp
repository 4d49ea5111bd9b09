#include "transport/value_server.hpp"

#include "protocol/peer_codec.hpp"
#include "transport/clock.hpp"
#include "transport/frame.hpp"

#include <fmt/format.h>
#include <pthread.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t threads = 4;
constexpr std::size_t waitingConnections = 32;
constexpr int readTimeoutMs = 500; ///< for each read
constexpr int writeTimeoutMs = 2000; ///< for each write
constexpr std::chrono::milliseconds requestTimeout { 1000 }; ///< for a whole request
constexpr std::chrono::milliseconds decisionTimeout { 1000 }; ///< for the decision thread's answer

} // namespace

value_server::value_server(decision_thread& decisions)
    : m_decisions(decisions)
    , m_workers("serve_values", threads, waitingConnections, [this](const connection& caller) { carryOut(caller); })
{
}

value_server::~value_server()
{
    stop();
}

absl::Status value_server::start(const address& own)
{
    m_listener = std::make_shared<apache::thrift::transport::TServerSocket>(own.ip, own.port);
    m_listener->setRecvTimeout(readTimeoutMs);
    m_listener->setSendTimeout(writeTimeoutMs);
    try {
        m_listener->listen();
    } catch (const std::exception& error) {
        return absl::UnavailableError(
            fmt::format("cannot bind the peers' address {}:{} (TCP): {}", own.ip, own.port, error.what()));
    }
    m_acceptor = std::jthread([this](const std::stop_token& stopping) { accept(stopping); });
    pthread_setname_np(m_acceptor.native_handle(), "accept_peers");
    return absl::OkStatus();
}

void value_server::serve(coordination::serve_value served)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(served.token);
    if (found == m_waiting.end())
        return;
    found->second.set_value(std::move(served));
    m_waiting.erase(found);
}

void value_server::stop()
{
    if (m_acceptor.joinable()) {
        m_acceptor.request_stop();
        m_listener->interrupt();
        m_acceptor.join();
    }
    m_workers.stop();
}

void value_server::accept(const std::stop_token& stopping)
{
    while (!stopping.stop_requested()) {
        try {
            // A connection that finds the ring full is closed as it goes out of scope.
            (void)m_workers.tryPush(m_listener->accept());
        } catch (const apache::thrift::TException&) {
            continue; // interrupted, or the caller went away before it was accepted
        }
    }
    m_listener->close();
}

void value_server::carryOut(const connection& caller)
{
    const auto frame = readFrame(*caller, protocol::maxRequestFrameBytes, monotonicNow() + requestTimeout);
    if (!frame.ok())
        return;
    const auto request = protocol::decodeValueRequest(*frame);
    if (!request.ok())
        return;
    auto served = ask({ 0, request->key, request->after });
    const auto answer = protocol::encodeValueAnswer({ request->key, served.number, std::move(served.body) });
    if (answer.ok())
        (void)writeFrame(*caller, *answer);
}

coordination::serve_value value_server::ask(coordination::value_requested requested)
{
    std::future<coordination::serve_value> answer;
    {
        const std::lock_guard lock(m_mutex);
        requested.token = m_nextToken++;
        answer = m_waiting[requested.token].get_future();
    }
    const auto token = requested.token;
    const bool posted = m_decisions.tryPost(std::move(requested));
    if (posted && answer.wait_for(decisionTimeout) == std::future_status::ready)
        return answer.get();
    const std::lock_guard lock(m_mutex);
    m_waiting.erase(token);
    return {};
}

} // namespace acaciaslip::transport
