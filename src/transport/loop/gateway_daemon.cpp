#include "transport/loop/gateway_daemon.hpp"

#include "coordination/gateway/shutdown.hpp"
#include "protocol/gateway_dump.hpp"
#include "transport/loop/boot_clock.hpp"

#include <utility>

#include <netinet/in.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr state::duration shutdownPollInterval = std::chrono::milliseconds { 10 }; ///< while answers are written
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int statusNotFound = 404;

int portOf(const std::string& address)
{
    const auto parsed = parseAddress(address);
    return parsed.ok() ? ntohs(parsed->sin_port) : 0;
}

} // namespace

gateway_daemon::parts::parts(gateway_daemon& owner, const gateway_settings& settings)
    : callers(owner.m_process.handle(), settings.format, [&owner](auto event) { owner.post(std::move(event)); })
    , servers(
          owner.m_process.handle(), settings.format, [&owner](auto event) { owner.post(std::move(event)); },
          [this](state::request_id id) { return callers.findRequest(id); })
    , health(owner.m_process.handle(),
          [&owner](const protocol::http::message&, const http_service::reply& reply) {
              const bool ready = coordination::gateway::isReady(owner.m_node);
              reply({ ready ? statusOk : statusUnavailable, "text/plain", ready ? "ready\n" : "not ready\n" });
          })
    , operators(owner.m_process.handle(),
          [&owner](const protocol::http::message& request, const http_service::reply& reply) {
              if (!owner.m_fleet.receive(request, reply))
                  reply(owner.answerOperator(request));
          })
    , peers(owner.m_process.handle(), settings.peerPort, portOf(settings.operators),
          [&owner](auto event) { owner.post(std::move(event)); })
    , wakeUp(owner.m_process.handle(),
          [&owner] {
              owner.m_wakeUpAt.reset();
              owner.post(coordination::gateway::timer_expired {});
          })
    , exit(owner.m_process.handle(), [&owner] { owner.finishWhenIdle(); })
{
}

gateway_daemon::gateway_daemon(gateway_settings settings)
    : m_settings(std::move(settings))
    , m_node(coordination::gateway::makeNode(m_settings.node, bootNow()))
    , m_random(makeSeed())
    , m_memory(std::make_shared<coordination::memory_budget>(coordination::makeMemoryBudget(m_settings.memoryBytes)))
    , m_process(m_settings.lowestLevel)
    , m_queue([this](const auto& happened) { handle(happened); },
          [this] {
              applyChanges();
              scheduleWakeUp();
          })
{
    m_parts = std::make_unique<parts>(*this, m_settings);
    m_parts->callers.useBudget(m_memory);
    m_parts->servers.useBudget(m_memory);
}

gateway_daemon::~gateway_daemon()
{
    if (!m_closed)
        close();
    m_parts.reset();
}

absl::Status gateway_daemon::start()
{
    if (auto status = m_parts->health.listen(m_settings.health); !status.ok())
        return status;
    if (!m_settings.operators.empty()) {
        if (auto status = m_parts->operators.listen(m_settings.operators); !status.ok())
            return status;
    }
    if (m_settings.peerPort != 0) {
        if (auto status = m_parts->peers.start(m_settings.node.ip); !status.ok())
            return status;
    }
    if (auto status = m_parts->callers.listen(m_settings.callers); !status.ok())
        return status;
    post(coordination::gateway::timer_expired {});
    return absl::OkStatus();
}

/// Carries out the effects that the node returns.
struct gateway_daemon::executor {
    gateway_daemon& owner;

    void operator()(const coordination::gateway::probe_server& wanted) const { owner.m_parts->servers.probe(wanted); }
    void operator()(const coordination::gateway::send_request& wanted) const { owner.m_parts->servers.send(wanted); }
    void operator()(const coordination::gateway::cancel_attempt& wanted) const
    {
        owner.m_parts->servers.cancel(wanted.id);
    }
    void operator()(const coordination::gateway::answer_caller& wanted) const
    {
        owner.m_parts->callers.answer(wanted, owner.m_parts->servers.takeAnswer(wanted.attempt));
    }
    void operator()(const coordination::gateway::refuse_caller& wanted) const { owner.m_parts->callers.refuse(wanted); }
    void operator()(const coordination::gateway::discard_answer& wanted) const
    {
        owner.m_parts->servers.discardAnswer(wanted.attempt);
    }
    void operator()(const coordination::gateway::send_peer_message& wanted) const
    {
        owner.m_parts->peers.sendHeartbeat(wanted);
    }
    void operator()(const coordination::gateway::fetch_fleet& wanted) const { owner.m_parts->peers.fetch(wanted); }
    void operator()(const coordination::gateway::serve_fleet& wanted) const
    {
        owner.m_fleet.serve(wanted, owner.m_node.published);
    }
    void operator()(const coordination::gateway::redirect_fetch& wanted) const { owner.m_fleet.redirect(wanted); }
    void operator()(const coordination::gateway::refuse_fetch& wanted) const { owner.m_fleet.refuse(wanted); }
    void operator()(const coordination::gateway::watch_store& wanted) const
    {
        if (owner.m_store.watch)
            owner.m_store.watch(wanted);
    }
    void operator()(const coordination::gateway::reread_store& /*wanted*/) const
    {
        if (owner.m_store.reread)
            owner.m_store.reread();
    }
    void operator()(const coordination::log_event& line) const { owner.m_process.log().write(line); }
    void operator()(const coordination::node_stopped& /*stopped*/) const
    {
        owner.m_parts->exit.start(shutdownPollInterval);
    }
};

void gateway_daemon::handle(const coordination::gateway::event& happened)
{
    coordination::gateway::handle(m_node, happened, bootNow(), m_random, m_effects);
    const auto effects = std::exchange(m_effects, {});
    for (const auto& effect : effects)
        std::visit(executor { *this }, effect);
}

void gateway_daemon::applyChanges()
{
    if (m_node.config.get() != m_appliedConfig) {
        m_appliedConfig = m_node.config.get();
        const auto& limits = m_appliedConfig->limits;
        connection_limits applied;
        applied.message.headBytes = limits.headerBytes;
        applied.message.bodyBytes = limits.bodyBytes;
        applied.headerTimeout = limits.headerTimeout;
        applied.idleTimeout = limits.idleTimeout;
        m_parts->callers.setLimits(applied);
    }
    if (m_node.phase >= coordination::gateway::node_phase::draining && !std::exchange(m_drainStarted, true))
        m_parts->callers.drain();
}

void gateway_daemon::scheduleWakeUp()
{
    const auto next = coordination::gateway::nextWakeUp(m_node);
    if (next == m_wakeUpAt)
        return;
    m_wakeUpAt = next;
    if (next)
        m_parts->wakeUp.start(*next - bootNow());
    else
        m_parts->wakeUp.stop();
}

void gateway_daemon::finishWhenIdle()
{
    const bool isIdle = m_parts->callers.isDrained() && m_node.requests.empty();
    // Callers may still read answers that are ready, for as long as the grace period lasts.
    if (isIdle || bootNow() >= coordination::gateway::latestExit(m_node).value_or(state::time_point {}))
        close();
    else
        m_parts->exit.start(shutdownPollInterval);
}

void gateway_daemon::close()
{
    m_closed = true;
    m_process.log().write({ coordination::log_level::info, "stopped", { { "id", m_settings.node.id } } });
    m_parts->callers.close();
    m_parts->servers.close();
    m_parts->health.close();
    m_parts->operators.close();
    m_parts->peers.close();
    if (m_store.close)
        m_store.close();
    if (m_closing)
        m_closing();
    m_process.stop();
}

service_answer gateway_daemon::answerOperator(const protocol::http::message& request)
{
    const auto path = protocol::http::extractPath(request.target);
    if (path == "/metrics") {
        const gateway_process_gauges gauges { m_parts->servers.connectionsOpened(), m_process.log().dropped(),
            m_store.calls ? m_store.calls() : 0, m_store.uselessAnswers ? m_store.uselessAnswers() : 0,
            m_parts->peers.rejected(), *m_memory };
        return { 200, "text/plain; version=0.0.4", writeGatewayMetrics(m_node, gauges, bootNow()) };
    }
    if (path == "/dump")
        return { statusOk, "application/json", protocol::writeGatewayDump(m_node, *m_memory, bootNow()) };
    return { statusNotFound, "text/plain", "no such path\n" };
}

} // namespace acaciaslip::transport::loop
