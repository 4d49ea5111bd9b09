#include "transport/loop/node_caller_server.hpp"

#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <utility>

#include <sys/resource.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr state::duration stopPollInterval = std::chrono::milliseconds { 10 };
constexpr int statusUnavailable = 503;

std::size_t capByDescriptorLimit(std::size_t wanted)
{
    rlimit descriptors {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
        return wanted;
    return std::min(wanted, static_cast<std::size_t>(descriptors.rlim_cur / 2));
}

} // namespace

node_caller_server::node_caller_server(uv_loop_t* loop, const caller_limits& limits, event_sink events)
    : m_limits(limits)
    , m_events(std::move(events))
    , m_listener(loop,
          { [this](auto id, const auto& from, auto request) { handleRequest(id, from, std::move(request)); },
              [this](state::request_id id) {
                  if (m_pending.erase(id) > 0)
                      m_events(coordination::caller_disconnected { id });
              },
              [](int status, std::string_view reason) { return protocol::writeEarlyRefusal(status, reason, false); } })
    , m_stopPoll(loop, [this] { continueStop(); })
{
    connection_limits each { limits.message, limits.requestTimeout, limits.idleTimeout, limits.requestTimeout, true };
    m_listener.setLimits(each);
    m_listener.setMaxConnections(capByDescriptorLimit(limits.maxConnections));
}

void node_caller_server::handleRequest(
    state::request_id id, const std::shared_ptr<caller_connection>& from, protocol::http::message request)
{
    const bool isHeadRequest = request.method == "HEAD";
    if (const auto fault = protocol::validateRequest(request))
        return from->answer(
            id,
            [&](bool /*keepAlive*/) {
                return protocol::writeEarlyRefusal(fault->status, fault->reason, isHeadRequest);
            },
            connection_persistence::close_after_requests);
    m_pending[id] = { from, isHeadRequest };
    m_events(protocol::makeRequestArrived(id, std::move(request)));
}

void node_caller_server::answer(const coordination::answer_caller& wanted)
{
    finish(
        wanted.id, [&](const auto& form) { return protocol::writeCallerAnswer(wanted, form); }, wanted.closeConnection,
        wanted.answer);
}

void node_caller_server::refuse(const coordination::refuse_caller& wanted)
{
    finish(
        wanted.id, [&](const auto& form) { return protocol::writeRefusal(wanted, form); }, wanted.closeConnection);
}

void node_caller_server::finish(state::request_id id,
    const std::function<std::string(const protocol::answer_options&)>& write, bool close,
    std::shared_ptr<const void> held)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const auto ended = std::move(found->second);
    m_pending.erase(found);
    const bool closes = close || m_stage != stop_stage::none;
    if (const auto connection = ended.connection.lock())
        connection->answer(
            id,
            [&](bool keepAlive) {
                return write({ ended.isHeadRequest, keepAlive });
            },
            closes ? connection_persistence::close_after_requests : connection_persistence::keep_alive,
            std::move(held));
}

void node_caller_server::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
    m_stage = stop_stage::listening;
    m_stageSince = m_lastNewConnection = bootNow();
    m_lastAcceptedCount = m_listener.acceptedConnections();
    continueStop();
}

void node_caller_server::continueStop()
{
    const auto now = bootNow();
    if (m_stage == stop_stage::listening) {
        if (std::exchange(m_lastAcceptedCount, m_listener.acceptedConnections()) != m_listener.acceptedConnections())
            m_lastNewConnection = now;
        // Listening ends only after a period without new connections, because connections in the accept queue are
        // reset when the listener closes.
        if (now - m_lastNewConnection >= m_limits.newConnectionTimeout
            || now - m_stageSince >= m_limits.maxListenTime) {
            m_stage = stop_stage::refusing;
            m_stageSince = now;
            m_listener.stopListening();
            m_listener.forEach(
                [](caller_connection& connection) { connection.refusePartial(statusUnavailable, "leaving"); });
        }
        m_listener.forEach([this](caller_connection& connection) { connection.drain(m_limits.newConnectionTimeout); });
    }
    const bool over = m_stage == stop_stage::refusing
        && (m_listener.openConnections() == 0 || now - m_stageSince >= m_limits.shutdownTimeout);
    if (!over)
        return m_stopPoll.start(stopPollInterval);
    close();
    std::exchange(m_stopped, nullptr)();
}

void node_caller_server::close()
{
    m_stopPoll.stop();
    m_listener.close();
}

} // namespace acaciaslip::transport::loop
